// Package examples embeds the services files of two example deployments.
package examples

import _ "embed"

// RotaDesk holds rota-desk.yaml, the services file of the Atelier, which maintains
// wax figures.
//
//go:embed rota-desk.yaml
var RotaDesk []byte

// KitDesk holds kit-desk.yaml, the services file of Moldes Abertos, which sends out
// hand casting kits.
//
//go:embed kit-desk.yaml
var KitDesk []byte
