package result_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Guards against a result code that the operators' page lacks or describes differently.
var _ = It("lists every code on the page", func() {
	page, err := os.ReadFile("../../docs/result-codes.md")
	Expect(err).NotTo(HaveOccurred())

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
	Expect(got).To(Equal(want))
})

// Guards against a wrapped error that loses its code on the way up.
var _ = It("keeps the code through wrapping", func() {
	coded := result.Errorf(result.NotLeader, "leader is %s", "c2")
	Expect(result.CodeOf(nil)).To(Equal(result.OK))
	Expect(result.CodeOf(fmt.Errorf("plan: %w", coded))).To(Equal(result.NotLeader))
	Expect(result.CodeOf(fmt.Errorf("plain"))).To(Equal(result.Internal))
	Expect(result.NotLeader.Exit()).To(Equal(40))
	Expect(coded.Error()).To(Equal("PS4001 not-leader: leader is c2"))
})
