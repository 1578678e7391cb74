// Package config reads a controller's two files: the platform's settings (TOML) and the
// operators' options (HCL), which may be absent. It maps the names in the files to the names
// in the code, validates the values, and derives the limits and durations that other packages
// use. The values that it returns are not modified afterwards.
package config
