package mustardstep

//go:generate go run ./internal/schemagen
