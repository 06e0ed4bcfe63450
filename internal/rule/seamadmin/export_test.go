package seamadmin

// Routes returns the method and path of each API route, separated by a space.
func Routes() []string {
	var list []string
	for _, r := range (&Server{}).routes() {
		list = append(list, r.Method+" "+r.Path)
	}
	return list
}
