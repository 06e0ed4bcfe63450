package seamrule

// Version is the latest recorded version of the document of one service.
type Version struct {
	Service string
	// Revision is the store's revision at which the version was recorded.
	Revision int64
	// Deleted means that the service was deleted; Document is then the last one before the deletion.
	Deleted  bool
	Document Document
}
