package demo

import "github.com/cockroachdb/errors"

// Location is an availability zone with its region.
type Location struct {
	Zone   string
	Region string
}

// Site describes the installation of one user. The platform and the origin are in
// the first location.
type Site struct {
	Name string
	// Locations are the availability zones of the installation.
	Locations []Location
	// Entries is the number of entries, which are assigned to the locations
	// round robin.
	Entries int
	// ModelsPerLocation is the number of model endpoints in each location.
	ModelsPerLocation int
	// Service is the name of the pool whose calls must run at most once.
	Service string
	// Workspaces are the names of the workspaces.
	Workspaces []string
}

// Sites returns the sites that the demo supports.
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

// FindSite returns the site with the name.
func FindSite(name string) (Site, error) {
	for _, site := range Sites() {
		if site.Name == name {
			return site, nil
		}
	}
	return Site{}, errors.Newf("site %q does not exist", name)
}
