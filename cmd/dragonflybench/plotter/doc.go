// Package plotter draws the figures of the policy experiment as SVG files.
package plotter
