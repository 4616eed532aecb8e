// Package examples holds complete services files.
package examples

import _ "embed"

// RotaDesk is the services file of the Atelier.
//
//go:embed rota-desk.yaml
var RotaDesk []byte

// KitDesk is the services file of Moldes Abertos.
//
//go:embed kit-desk.yaml
var KitDesk []byte
