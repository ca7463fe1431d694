// Package account holds the keys by which client accounts are recognised. It keeps
// digests only, so that a key appears in no log line, dump or error.
package account

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"sync"
)

// MaxKeyBytes bounds the length of a key. Longer ones are unknown.
const MaxKeyBytes = 4096

// digest identifies a key. Without the secret of the process it can't be traced back to
// the key, and looking it up takes a time that tells nothing of the stored keys.
type digest [sha256.Size]byte

// processSecret returns the secret of this process's digests.
var processSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	// Read never fails: the program ends if the system has no random numbers.
	_, _ = rand.Read(secret)
	return secret
})

func digestOf(key string) digest {
	mac := hmac.New(sha256.New, processSecret())
	mac.Write([]byte(key))
	var d digest
	mac.Sum(d[:0])
	return d
}

// KeySet maps keys to the accounts that they belong to. The zero value has no keys. Once
// built, it may be used concurrently.
type KeySet struct{ owners map[digest]string }

// Add adds a key of an account. A key belongs to one account: Add reports false, and
// changes nothing, if it is empty, too long or another account's.
func (s *KeySet) Add(key, account string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	d := digestOf(key)
	if owner, ok := s.owners[d]; ok {
		return owner == account
	}
	if s.owners == nil {
		s.owners = map[digest]string{}
	}
	s.owners[d] = account
	return true
}

// Lookup returns the account that a key belongs to, and false if the key is unknown.
func (s *KeySet) Lookup(key string) (account string, ok bool) {
	if key == "" || len(key) > MaxKeyBytes || len(s.owners) == 0 {
		return "", false
	}
	account, ok = s.owners[digestOf(key)]
	return account, ok
}

// Len returns the number of keys.
func (s *KeySet) Len() int { return len(s.owners) }

// String implements fmt.Stringer and shows no digests.
func (s KeySet) String() string { return fmt.Sprintf("%d keys", len(s.owners)) }

// GoString implements fmt.GoStringer and shows no digests.
func (s KeySet) GoString() string { return "account.KeySet{" + s.String() + "}" }

// MarshalJSON implements json.Marshaler and shows no digests.
func (s KeySet) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }
