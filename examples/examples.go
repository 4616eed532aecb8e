// Package examples embeds complete services files.
package examples

import _ "embed"

// RotaDesk holds rota-desk.yaml, the services file of the Atelier.
//
//go:embed rota-desk.yaml
var RotaDesk []byte

// KitDesk holds kit-desk.yaml, the services file of Moldes Abertos.
//
//go:embed kit-desk.yaml
var KitDesk []byte
