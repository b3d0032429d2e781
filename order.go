package dragonflypass

// Assignment records which VM may send orders to a backend server; its offset in the log is their fencing number.
type Assignment struct {
	Server      ServerID
	VM          VMID
	Incarnation uint64
}

// Order instructs a backend server to load or unload a model.
type Order struct {
	Model ModelID
	// Unload is set when the model is to be unloaded.
	Unload bool
	// Fence is the order's fencing number, which some servers check.
	Fence Offset
}
