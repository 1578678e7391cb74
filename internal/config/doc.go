// Package config reads the two files that a controller is given: the platform's settings
// (TOML) and, if there is one, the operators' options (HCL). It maps their names to those
// of the code, checks them, and derives from them the limits and times that other
// packages keep to. What it returns is not changed afterwards.
package config
