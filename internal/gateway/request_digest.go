package gateway

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// requestDigest identifies a request's content, so that its repetitions are recognized. It
// leaves out what differs each time: the id, the deadline, the event after which a stream
// continues and the last part of the prompt, which may belong to the request alone.
func requestDigest(req *callerRequest) uint64 {
	digest := xxhash.New()
	for _, field := range []string{req.r.Method, req.r.Host, req.r.RequestURI, req.call.WorkspaceKey} {
		_, _ = digest.WriteString(field + "\x00") // never fails
	}
	for _, part := range req.call.Parts[:max(0, len(req.call.Parts)-1)] {
		_, _ = digest.WriteString(part.ID + "\x00")
	}
	_, _ = digest.Write(req.body)
	return digest.Sum64()
}

// digestName returns the name of a digest in logs.
func digestName(digest uint64) string { return fmt.Sprintf("%016x", digest) }
