package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Guards against a result code that the operators' page lacks or describes differently.
func TestPageListsEveryCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/result-codes.md")
	g.Expect(err).NotTo(HaveOccurred())

	var want []string
	for _, c := range result.All() {
		info, _ := result.Describe(c)
		want = append(want, fmt.Sprintf("| PS%04d | %s | %s | %s |", int(c), info.Name, info.Meaning, info.Action))
	}
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| PS") {
			got = append(got, line)
		}
	}
	g.Expect(got).To(Equal(want))
}

// Guards against a wrapped error that loses its code on the way up.
func TestCodeOf(t *testing.T) {
	g := NewWithT(t)
	coded := result.Errorf(result.NotLeader, "leader is %s", "c2")
	g.Expect(result.CodeOf(nil)).To(Equal(result.OK))
	g.Expect(result.CodeOf(fmt.Errorf("plan: %w", coded))).To(Equal(result.NotLeader))
	g.Expect(result.CodeOf(fmt.Errorf("plain"))).To(Equal(result.Internal))
	g.Expect(result.NotLeader.Exit()).To(Equal(40))
	g.Expect(coded.Error()).To(Equal("PS4001 not-leader: leader is c2"))
}
