package demo

import "github.com/cockroachdb/errors"

// Location is one availability zone with its region.
type Location struct {
	Zone   string
	Region string
}

// Site is the shape of one user's installation. The first place is where the
// platform and the origin are.
type Site struct {
	Name string
	// Locations are the availability zones.
	Locations []Location
	// Entries is the number of entries, dealt to the places in turn.
	Entries int
	// ModelsPerLocation is the number of model endpoints in each place.
	ModelsPerLocation int
	// Service is the name of the pool whose calls may not be repeated.
	Service string
	// Workspaces are the names of the workspaces.
	Workspaces []string
}

// Sites returns the installations that the demo knows.
func Sites() []Site {
	return []Site{
		{
			Name:              "tegaki",
			Locations:         []Location{{"fukuoka", "fukuoka"}, {"kumamoto", "kumamoto"}, {"kagoshima", "kagoshima"}},
			Entries:           4,
			ModelsPerLocation: 3,
			Service:           "booking",
			Workspaces:        []string{"aso-care", "sakura-home", "minami-clinic"},
		},
		{
			Name:              "cairnloch",
			Locations:         []Location{{"lothian", "lothian"}, {"clyde", "clyde"}, {"tayside", "tayside"}},
			Entries:           4,
			ModelsPerLocation: 3,
			Service:           "ledger",
			Workspaces:        []string{"forth-university", "kelvin-college", "tay-institute"},
		},
	}
}

// FindSite returns the named site.
func FindSite(name string) (Site, error) {
	for _, site := range Sites() {
		if site.Name == name {
			return site, nil
		}
	}
	return Site{}, errors.Newf("site %q does not exist", name)
}
