package main

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/operator/store"
)

var (
	_ store.FleetSource    = (*fleetSource)(nil)
	_ store.UsageSource    = (*fleetSource)(nil)
	_ httpapi.StatusSource = (*fleetSource)(nil)
)

func TestFleetSourceReportsAnnouncedInstances(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	process, err := startDev(devConfig{listen: "127.0.0.1:0", operatorListen: "127.0.0.1:0"}, logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(process.stop()).To(Succeed()) }()
	g.Expect(process.waitServing(ctx)).To(Succeed())
	source := &fleetSource{
		members:        process.entry.members,
		catalogue:      func() *carobkeel.Catalogue { return catalogfile.DevCatalogue().Catalogue(1) },
		location:       carobkeel.Location{DataCentre: devDataCentre},
		since:          time.Now().Add(-time.Minute),
		storeAvailable: func() bool { return true },
	}
	fleet, err := source.Fleet(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fleet.Instances).To(HaveLen(devUpstreams))
	g.Expect(fleet.Instances[0]).To(And(HaveField("Service", carobkeel.Service(devService)), HaveField("Serving", true)))
	usage, err := source.Usage(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(usage.Running).To(Equal(map[string]int{devService: devUpstreams}))
	status, err := source.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Services).To(Equal([]operator.ServiceStatus{
		{Name: devService, Owner: "demo-services", Instances: devUpstreams, Serving: devUpstreams},
	}))
	g.Expect(status.DataCentres).To(HaveLen(1))
	g.Expect(status.DataCentres[0].Upstreams).To(Equal(devUpstreams))
}
