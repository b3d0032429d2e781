// Package parser reads the day's sheet from the CSV file that planners export.
package parser
