// Package parser parses the day's sheet, a CSV file that planners export.
package parser
