package rollout

// Counts are answers since an order began, by the version of the backend server.
type Counts struct {
	// Target are the answers of backend servers of the target version.
	Target Answers
	// Others are the answers of all other backend servers.
	Others Answers
}

// Answers are answers of backend servers of one side.
type Answers struct {
	// All is the number of answers.
	All int
	// Failures is the number of these that failed.
	Failures int
	// Slow is the number of these that were slow.
	Slow int
	// Cold is the number of these to calls that began while the backend server was cold.
	// They are never counted as slow.
	Cold int
}
