package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// concurrentOrders is the greatest number of concurrent orders in BenchmarkOrders.
const concurrentOrders = 16

// BenchmarkOrders measures orders over HTTP at one instance with a table and a service
// on loopback; the service takes 5 ms per order.
func BenchmarkOrders(b *testing.B) {
	for _, callers := range []int{1, concurrentOrders} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newDeployment(b, "lutvik")
			before := s.environment.Platform().CommitCount()
			begin := time.Now()
			var next, refused atomic.Int64
			slots := make(chan struct{}, callers)
			for range b.N {
				slots <- struct{}{}
				go func() {
					defer func() { <-slots }()
					if !s.sendDose(fmt.Sprint("b-", next.Add(1))) {
						refused.Add(1)
					}
				}()
			}
			for range callers {
				slots <- struct{}{}
			}
			duration := time.Since(begin)
			b.ReportMetric(float64(s.environment.Platform().CommitCount()-before)/float64(b.N), "commits/order")
			b.ReportMetric(float64(b.N)/duration.Seconds(), "orders/s")
			b.ReportMetric(duration.Seconds()*1000*float64(callers)/float64(b.N), "ms/order")
			b.ReportMetric(float64(refused.Load()), "refused")
		})
	}
}

// sendDose sends one order and reports whether it succeeded.
func (s *testDeployment) sendDose(key string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.instance.CallerAddress()+"/v1/services/mill-gateway/dose", strings.NewReader(doseOrder))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer demo-skoghammar")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
