package settings

// Operator holds the settings of the operators' command line.
type Operator struct {
	Platform Platform `json:"platform" check:"required" doc:"Addresses of the platform's services."`
	Operator string   `json:"operator" check:"required" doc:"Name of the operator, recorded in each ticket."`
}

// LoadOperator reads and validates an operator's settings file.
func LoadOperator(file string) (Operator, error) {
	var loaded Operator
	err := load(file, &loaded, func(*checker) {})
	return loaded, err
}
