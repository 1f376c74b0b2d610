package endive

// MaxKeyLength is the maximum length of an idempotency key, in bytes.
const MaxKeyLength = 128

// Validate adds a finding for each error in the key, which is the field at path.
func (k IdempotencyKey) Validate(f *Findings, path string) {
	if k == "" {
		f.Add(path, "is missing; choose a key that is the same for each retry")
		return
	}
	if len(k) > MaxKeyLength {
		f.Add(path, "is %d bytes long; at most %d are allowed", len(k), MaxKeyLength)
	}
	for _, r := range k {
		if r <= ' ' || r > '~' || r == '/' {
			f.Add(path, "contains %q; only printable ASCII without spaces or slashes is allowed", r)
			return
		}
	}
}
