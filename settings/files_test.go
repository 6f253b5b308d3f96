package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against a start that reports only the first unusable file or does not
// name its setting, and against a listener that opens with an empty token file or
// with a CA file without a certificate.
func TestUnusableFilesAreFindings(t *testing.T) {
	junk, empty := writeFile(t, "junk", "x"), writeFile(t, "empty", "\n")
	file := writeFile(t, "entry.toml", minimal+`operator_token_file = "`+empty+`"
caller_listen = "0.0.0.0:80"
[tls.operator]
certificate_file = "/absent/operator.pem"
key_file = "/absent/operator.key"
[tls.peer]
certificate_file = "`+junk+`"
key_file = "`+junk+`"
ca_file = "`+junk+`"
`)
	_, found := LoadWithFiles(file)
	want := []string{
		":5:1: operator_token_file cannot be used: ",
		":6:1: caller_listen 0.0.0.0:80 is not on loopback and has no TLS",
		":8:1: tls.operator.certificate_file cannot be read: ",
		":9:1: tls.operator.key_file cannot be read: ",
		":11:1: tls.peer.certificate_file and key_file cannot be used: ",
		":13:1: tls.peer.ca_file cannot be used: ",
	}
	if len(found) != len(want) {
		t.Fatalf("findings are %v", found)
	}
	for i, finding := range found {
		if !strings.HasPrefix(finding.String(), file+want[i]) {
			t.Errorf("finding %d is %s, want %s", i, finding, want[i])
		}
	}
	if _, found := Load(file); len(found) != 1 {
		t.Errorf("without the files: %v", found)
	}
	if source, err := (TLSFiles{}).Source(nil); source != nil || err != nil {
		t.Errorf("without files: %v, %v", source, err)
	}
}
