package configuration_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

func batch(name string, count int) configuration.Op {
	return configuration.Op{Workload: &configuration.Workload{
		Name: name, Kind: configuration.Batch, Team: "t", Count: count,
		Homes: []configuration.Home{{Domain: "d", Count: count}},
	}}
}

func TestFinishedWorkLeavesItsTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	c := configuration.NewCatalog()
	c.Apply(0, configuration.Record{ID: "0", Ops: []configuration.Op{batch("b", 2)}})
	c.Apply(1, configuration.Record{ID: "1", Ended: []configuration.Ended{{Task: "b/0/1"}, {Task: "b/0/2"}, {Task: "b/1/0"}, {Task: "b/0/01"}}})
	g.Expect(c.Workloads["b"].Finished).To(gomega.BeFalse())
	frozen := c.Freeze()
	c.Apply(2, configuration.Record{ID: "2", Ended: []configuration.Ended{{Task: "b/0/0"}}})
	g.Expect(c.Workloads["b"].Finished).To(gomega.BeTrue())
	g.Expect(c.Ended).To(gomega.BeEmpty())
	g.Expect(configuration.Tasks(c.Workloads["b"], "d")).To(gomega.BeEmpty())
	g.Expect(frozen.Ended["b"]).To(gomega.HaveLen(1))
	g.Expect(frozen.Next).To(gomega.Equal(int64(2)))

	// Declaring it again as it stands runs nothing a second time.
	c.Apply(3, configuration.Record{ID: "3", Ops: []configuration.Op{batch("b", 2)}})
	g.Expect(configuration.Tasks(c.Workloads["b"], "d")).To(gomega.BeEmpty())
}

func TestFinishedWorkIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	c := configuration.NewCatalog()
	for i := range int64(2100) {
		name := fmt.Sprint("b", i)
		c.Apply(2*i, configuration.Record{ID: fmt.Sprint(2 * i), Ops: []configuration.Op{batch(name, 1)}})
		c.Apply(2*i+1, configuration.Record{ID: fmt.Sprint(2*i + 1), Ended: []configuration.Ended{{Task: fmt.Sprintf("%s/%d/0", name, 2*i)}}})
	}
	g.Expect(c.Workloads).To(gomega.HaveLen(2000))
	g.Expect(c.Workloads).NotTo(gomega.HaveKey("b99"))
	g.Expect(c.Workloads).To(gomega.HaveKey("b100"))
}

func TestViewAdoptsAPeersState(t *testing.T) {
	g := gomega.NewWithT(t)
	known := configuration.NewView()
	for i := range int64(3) {
		data, err := configuration.Encode(configuration.Record{ID: fmt.Sprint(i), Ops: []configuration.Op{batch(fmt.Sprint("b", i), 1)}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		known.Feed(0, []configuration.Numbered{{Offset: i, Data: data}})
	}
	fresh := configuration.NewView()
	g.Expect(fresh.Adopt(known.Catalog.Freeze())).To(gomega.BeTrue())
	g.Expect(fresh.Complete()).To(gomega.BeTrue())
	g.Expect(fresh.Next()).To(gomega.Equal(int64(3)))
	g.Expect(known.Adopt(fresh.Catalog)).To(gomega.BeFalse())
}

// TestFreezeSharesNothingThatGrows compares every map and slice of a catalog
// with its frozen copy's: the copy is read on other goroutines.
func TestFreezeSharesNothingThatGrows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := configuration.NewCatalog()
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		switch {
		case !f.CanSet():
		case f.Kind() == reflect.Map:
			f.Set(reflect.MakeMap(f.Type()))
			f.SetMapIndex(reflect.ValueOf("k"), reflect.Zero(f.Type().Elem()))
		case f.Kind() == reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 2))
		}
	}
	frozen := reflect.ValueOf(c.Freeze()).Elem()
	for i := range v.NumField() {
		if k := v.Field(i).Kind(); k == reflect.Map || k == reflect.Slice {
			g.Expect(frozen.Field(i).Len()).To(gomega.Equal(1), v.Type().Field(i).Name)
			g.Expect(frozen.Field(i).Pointer()).NotTo(gomega.Equal(v.Field(i).Pointer()), v.Type().Field(i).Name)
		}
	}
}
