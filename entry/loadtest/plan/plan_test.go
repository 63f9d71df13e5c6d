package plan_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

func requests(c plan.Config) []plan.Request {
	p := plan.New(c)
	var all []plan.Request
	for {
		request, ok := p.Next()
		if !ok {
			return all
		}
		all = append(all, request)
	}
}

func mustMix(t *testing.T, text string) plan.Mix {
	t.Helper()
	mix, err := plan.ParseMix(text)
	if err != nil {
		t.Fatal(err)
	}
	return mix
}

func TestUniformArrivalsFollowTheRateThroughAFlood(t *testing.T) {
	g := NewWithT(t)
	all := requests(plan.Config{
		Rate: 100, Duration: 3 * time.Second, Arrivals: plan.Uniform, Mix: mustMix(t, "echo:0.5,other:0.5"),
		Floods:  plan.Floods{{At: time.Second, For: time.Second, Factor: 9, Service: "echo"}},
		Targets: 1,
	})
	var perSecond [3]int
	var echoInFlood int
	for _, request := range all {
		second := int(request.At / time.Second)
		perSecond[second]++
		if second == 1 && request.Share == 0 {
			echoInFlood++
		}
	}
	g.Expect(perSecond[0]).To(BeNumerically("~", 100, 1))
	g.Expect(perSecond[1]).To(BeNumerically("~", 500, 1))
	g.Expect(perSecond[2]).To(BeNumerically("~", 100, 1))
	g.Expect(echoInFlood).To(BeNumerically("~", 450, 25))
}

func TestPoissonGapsHaveTheMeanAndSpreadOfTheirRate(t *testing.T) {
	g := NewWithT(t)
	all := requests(plan.Config{Seed: 7, Rate: 1000, Duration: 20 * time.Second, Mix: mustMix(t, "echo")})
	var sum, squares float64
	for i := 1; i < len(all); i++ {
		gap := (all[i].At - all[i-1].At).Seconds()
		sum += gap
		squares += gap * gap
	}
	n := float64(len(all) - 1)
	mean := sum / n
	deviation := math.Sqrt(squares/n - mean*mean)
	g.Expect(mean).To(BeNumerically("~", 0.001, 0.00003))
	g.Expect(deviation / mean).To(BeNumerically("~", 1, 0.03))
}

func TestARepeatCarriesTheSameRequestThroughTheNextEntry(t *testing.T) {
	g := NewWithT(t)
	all := requests(plan.Config{
		Seed: 3, Run: "r", Rate: 200, Duration: time.Second, Mix: mustMix(t, "echo,other"),
		KeyShare: 1, RepeatShare: 0.5, MaxRepeatDelay: 100 * time.Millisecond, Targets: 3,
		Bodies: plan.SizeRange{Min: 0, Max: 4096},
	})
	firsts := make(map[uint64]plan.Request)
	repeats := 0
	for _, request := range all {
		if !request.IsRepeat {
			firsts[request.Sequence] = request
			continue
		}
		repeats++
		first, ok := firsts[request.Sequence]
		g.Expect(ok).To(BeTrue(), "a repeat comes after its original")
		g.Expect(request.Target).To(Equal((first.Target + 1) % 3))
		g.Expect(first.HasRepeat).To(BeTrue())
		request.IsRepeat, request.HasRepeat, request.At, request.Target = false, true, first.At, first.Target
		g.Expect(request).To(Equal(first))
	}
	g.Expect(repeats).To(BeNumerically("~", len(firsts)/2, len(firsts)/5))
}

func TestPlanIsOrderedDeterministicAndWithinItsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		mix, err := plan.ParseMix("a:1,b:3/owner=x,c:0.1/class=batch")
		g.Expect(err).NotTo(HaveOccurred())
		config := plan.Config{
			Seed:           rapid.Uint64().Draw(t, "seed"),
			Rate:           rapid.Float64Range(1, 500).Draw(t, "rate"),
			Duration:       time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond,
			Arrivals:       plan.Arrivals(rapid.IntRange(0, 1).Draw(t, "arrivals")),
			Mix:            mix,
			Floods:         plan.Floods{{At: 500 * time.Millisecond, For: time.Second, Factor: 4, Owner: "x"}},
			KeyShare:       rapid.Float64Range(0, 1).Draw(t, "keys"),
			RepeatShare:    rapid.Float64Range(0, 1).Draw(t, "repeats"),
			MaxRepeatDelay: 50 * time.Millisecond,
			Bodies:         plan.SizeRange{Min: 10, Max: 1000},
			Targets:        2,
		}
		all := requests(config)
		g.Expect(requests(config)).To(Equal(all))
		last := time.Duration(0)
		for _, request := range all {
			g.Expect(request.At).To(BeNumerically(">=", last))
			last = request.At
			g.Expect(request.At).To(BeNumerically("<", config.Duration+config.MaxRepeatDelay))
			g.Expect(request.BodySize).To(And(BeNumerically(">=", 10), BeNumerically("<=", 1000)))
			g.Expect(request.Share).To(BeNumerically("<", len(mix)))
		}
	})
}

func TestMixAndFloodSpecs(t *testing.T) {
	g := NewWithT(t)
	mix := mustMix(t, "echo:0.8/owner=msaada/delay=5ms/method=PUT/size=9,sample:0.2/class=batch")
	g.Expect(mix[0]).To(Equal(plan.Share{
		Service: "echo", Owner: "msaada", Weight: 0.8, Method: "PUT", Delay: 5 * time.Millisecond, Size: 9,
	}))
	g.Expect(mix[0].Path()).To(Equal("/services/echo/?delay=5ms&size=9"))
	g.Expect(mix[1].Class).To(Equal(carobkeel.ClassBatch))
	g.Expect(mix[1].Path()).To(Equal("/jobs/sample"))
	for _, wrong := range []string{"", ":1", "echo:x", "echo:0", "echo:-1", "echo:NaN", "echo/colour=red", "echo/class=x"} {
		_, err := plan.ParseMix(wrong)
		g.Expect(err).To(HaveOccurred(), wrong)
	}
	floods, err := plan.ParseFloods("at=1s,for=2s,factor=3,service=echo;at=5s,for=1s,factor=2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(floods.String()).To(Equal("at=1s,for=2s,factor=3,service=echo;at=5s,for=1s,factor=2"))
	for _, wrong := range []string{"", "at=1s", "at=1s,for=1s,factor=0.5", "at=-1s,for=1s,factor=2", "x=1"} {
		_, err := plan.ParseFloods(wrong)
		g.Expect(err).To(HaveOccurred(), wrong)
	}
}

func TestBodiesDifferBySequence(t *testing.T) {
	g := NewWithT(t)
	g.Expect(plan.Body(1, 2, 33)).To(HaveLen(33))
	g.Expect(plan.Body(1, 2, 33)).To(Equal(plan.Body(1, 2, 33)))
	g.Expect(plan.Body(1, 2, 33)).NotTo(Equal(plan.Body(1, 3, 33)))
	var sizes plan.SizeRange
	g.Expect(sizes.Set("10-20")).To(Succeed())
	g.Expect(sizes.String()).To(Equal("10-20"))
	for _, wrong := range []string{"x", "1-x", "20-10", "-5"} {
		g.Expect(sizes.Set(wrong)).NotTo(Succeed(), wrong)
	}
}
