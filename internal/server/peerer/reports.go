package peerer

import (
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// ageUnit is the unit of ages in messages.
	ageUnit = 10 * time.Millisecond
	// rateStepsPerDoubling is the number of steps that encode a doubling of 1+rate.
	rateStepsPerDoubling = 8
	// infoInterval is how often an unchanged upstreamInfo is sent again.
	infoInterval = 10 * time.Second
)

// upstreamInfo is the part of a load report that seldom changes.
type upstreamInfo struct {
	models []string
	role   string
	// updatedAt is when the info was last sent or received.
	updatedAt time.Time
}

// encodeReports returns the load reports that this instance polled, with the sum
// of the attempts in progress that its peers reported and its own.
func (p *Peerer) encodeReports(now time.Time) *encoder.LoadReports {
	ownInflight := make(map[uint32]int, len(p.localLoads.inflight))
	for _, count := range p.localLoads.inflight {
		ownInflight[hashID(count.UpstreamID)] = count.Inflight
	}
	reports := &encoder.LoadReports{}
	for i, r := range p.localLoads.reports {
		inflight := ownInflight[r.UpstreamHash]
		for _, counts := range p.inflightByPeer {
			inflight += counts[r.UpstreamHash]
		}
		reports.UpstreamHashes = append(reports.UpstreamHashes, r.UpstreamHash)
		reports.Running = append(reports.Running, uint32(r.Load.Running))
		reports.Waiting = append(reports.Waiting, uint32(r.Load.Waiting))
		reports.Slots = append(reports.Slots, uint32(r.Load.Slots))
		reports.AgeCs = append(reports.AgeCs, encodeAge(now.Sub(r.Load.ReportedAt)))
		reports.Inflight = append(reports.Inflight, uint32(inflight))
		reports.PrefillRates = append(reports.PrefillRates, encodeRate(r.Load.PrefillRate))
		reports.DecodeRates = append(reports.DecodeRates, encodeRate(r.Load.DecodeRate))
		if r.IsLeaving {
			reports.LeavingIndices = append(reports.LeavingIndices, uint32(i))
		}
		if info := p.encodeInfo(r, now); info != nil {
			reports.UpstreamInfo = append(reports.UpstreamInfo, info)
		}
	}
	reports.PrefillRates = trimZeros(reports.PrefillRates)
	reports.DecodeRates = trimZeros(reports.DecodeRates)
	return reports
}

// encodeInfo returns an upstream's info, or nil if it has none or the same was
// sent within infoInterval.
func (p *Peerer) encodeInfo(r LoadReport, now time.Time) *encoder.UpstreamInfo {
	last, wasSent := p.sentInfo[r.UpstreamHash]
	isUnchanged := last.role == r.Load.Role && slices.Equal(last.models, r.Load.Models)
	if isUnchanged && (!wasSent || now.Sub(last.updatedAt) < infoInterval) {
		return nil
	}
	p.sentInfo[r.UpstreamHash] = upstreamInfo{models: r.Load.Models, role: r.Load.Role, updatedAt: now}
	return &encoder.UpstreamInfo{UpstreamHash: r.UpstreamHash, Models: r.Load.Models, Role: r.Load.Role}
}

// encodeAge returns an age in units of ageUnit. It rounds up, so that a report
// never looks newer to the receiver than it is.
func encodeAge(age time.Duration) uint32 { return uint32(max(0, age+ageUnit-1) / ageUnit) }

// encodeRate returns a rate as a logarithmic step, from which decodeRate restores
// 1+rate within 4.5 %.
func encodeRate(rate float64) uint32 {
	return uint32(math.Round(rateStepsPerDoubling * math.Log2(1+max(0, rate))))
}

func decodeRate(step uint32) float64 { return math.Exp2(float64(step)/rateStepsPerDoubling) - 1 }

// trimZeros returns a list without the zeros at its end.
func trimZeros(list []uint32) []uint32 {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// itemAt returns an item of a list that a peer sent, or zero if the list is shorter.
func itemAt(list []uint32, i int) uint32 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// decodeReports returns the load reports of a digest, with ages converted to times
// of this instance's clock and with the upstreams' info that was last received.
func (p *Peerer) decodeReports(message *encoder.LoadReports, now time.Time) []LoadReport {
	for _, info := range message.GetUpstreamInfo() {
		p.receivedInfo[info.GetUpstreamHash()] = upstreamInfo{models: info.GetModels(), role: info.GetRole(), updatedAt: now}
	}
	reports := make([]LoadReport, 0, len(message.GetUpstreamHashes()))
	for i, upstream := range message.GetUpstreamHashes() {
		info := p.receivedInfo[upstream]
		reports = append(reports, LoadReport{
			UpstreamHash: upstream, IsLeaving: slices.Contains(message.GetLeavingIndices(), uint32(i)), Inflight: int(itemAt(message.GetInflight(), i)),
			Load: server.Load{
				ReportedAt: now.Add(-time.Duration(itemAt(message.GetAgeCs(), i)) * ageUnit),
				Running:    int(itemAt(message.GetRunning(), i)), Waiting: int(itemAt(message.GetWaiting(), i)), Slots: int(itemAt(message.GetSlots(), i)),
				PrefillRate: decodeRate(itemAt(message.GetPrefillRates(), i)), DecodeRate: decodeRate(itemAt(message.GetDecodeRates(), i)),
				Models: info.models, Role: info.role,
			},
		})
	}
	return reports
}

// expireInfo deletes the info of upstreams that was last sent or received more than
// six intervals ago. It makes the rest of the sent info due again, as a new link needs
// it.
func (p *Peerer) expireInfo(now time.Time) {
	for upstream, info := range p.sentInfo {
		if now.Sub(info.updatedAt) > 6*infoInterval {
			delete(p.sentInfo, upstream)
			continue
		}
		info.updatedAt = now.Add(-infoInterval)
		p.sentInfo[upstream] = info
	}
	for upstream, info := range p.receivedInfo {
		if now.Sub(info.updatedAt) > 6*infoInterval {
			delete(p.receivedInfo, upstream)
		}
	}
}
