package attempt

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const hashSeparator = "\x1f"

// RendezvousVM returns the VM with the highest rendezvous score for the key, or "" for no VMs.
// Removing a VM moves only the keys that it had.
func RendezvousVM(key string, vms []ident.VM) ident.VM {
	var best ident.VM
	var bestScore uint64
	keyHash := xxhash.Sum64String(key)
	for _, vm := range vms {
		score := mix(keyHash ^ xxhash.Sum64String(string(vm)))
		if best == "" || score > bestScore || (score == bestScore && vm < best) {
			best, bestScore = vm, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64; it spreads the bits of a hash.
func mix(hash uint64) uint64 {
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

// OwnerOf returns the VM whose agent owns the run key under the published list of the service;
// "" if the list is empty.
func OwnerOf(key ident.RunKey, service fleet.Service) ident.VM {
	return RendezvousVM(string(key), backendVMs(service))
}

func backendVMs(service fleet.Service) []ident.VM {
	vms := make([]ident.VM, 0, len(service.Backends))
	for _, backend := range service.Backends {
		vms = append(vms, backend.VM)
	}
	return vms
}

// partBit is set in the last byte of the fingerprints of prompt parts, and clear in those of requests.
const partBit = 1

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return f[len(f)-1]&partBit != 0 }

// NewFingerprint returns the SHA-256 digest of customer, class and body digest, truncated to 16 bytes without partBit.
func NewFingerprint(customer ident.Customer, class ident.Class, body Digest) Fingerprint {
	sum := sha256.New()
	sum.Write([]byte(string(customer) + hashSeparator + string(class) + hashSeparator))
	sum.Write(body[:])
	var fingerprint Fingerprint
	copy(fingerprint[:], sum.Sum(nil))
	fingerprint[len(fingerprint)-1] &^= partBit
	return fingerprint
}

// NewPartFingerprint returns the fingerprint of a prompt part: its SHA-256 digest, truncated to 16 bytes with partBit.
func NewPartFingerprint(part ident.PromptPart) Fingerprint {
	sum := sha256.Sum256([]byte("prompt part" + hashSeparator + string(part)))
	fingerprint := Fingerprint(sum[:len(Fingerprint{})])
	fingerprint[len(fingerprint)-1] |= partBit
	return fingerprint
}

// topRanked returns the count members with the highest rendezvous scores for the key.
func topRanked[M any](key string, members []M, name func(M) string, count int) []M {
	keyHash := xxhash.Sum64String(key)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b M) int {
		nameA, nameB := name(a), name(b)
		scoreA, scoreB := mix(keyHash^xxhash.Sum64String(nameA)), mix(keyHash^xxhash.Sum64String(nameB))
		return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(nameA, nameB))
	})
	return ranked[:min(count, len(ranked))]
}
