#include "helm/metrics.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Metrics){};

TEST(Metrics, the_latest_tick_of_a_span_is_told) {
  LoopMeter meter;
  meter.begin_span(seconds(1));
  meter.tick_ran(0, seconds(1));
  meter.tick_ran(seconds(2), seconds(2) + milliseconds(40));
  meter.tick_ran(seconds(3), seconds(3) + milliseconds(7));
  Metrics figures;
  meter.report(figures);
  LONGS_EQUAL(40, figures["tick_late_ms"]);
  LONGS_EQUAL(3, figures["ticks"]);
  meter.begin_span(seconds(4));
  meter.report(figures);
  LONGS_EQUAL(0, figures["tick_late_ms"]);
}

TEST(Metrics, bytes_are_counted_by_kind_of_message) {
  TrafficMeter meter;
  meter.sent(PermitAsk{}, 100);
  meter.sent(PermitAsk{}, 20);
  meter.sent(LedgerCopy{}, 7);
  Metrics figures;
  meter.report(figures);
  LONGS_EQUAL(120, figures["bytes_PermitAsk"]);
  LONGS_EQUAL(7, figures["bytes_LedgerCopy"]);
  LONGS_EQUAL(0, figures["bytes_Orders"]);
}

TEST(Metrics, figures_are_told_as_text_on_their_own_path_only) {
  HttpMessage request;
  request.method = "GET";
  request.target = "/metrics";
  CHECK(asks_for_metrics(request));
  request.target = "/ready";
  CHECK_FALSE(asks_for_metrics(request));
  const HttpMessage response = metrics_response({{"one", 1}, {"none", 0}});
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("none 0\none 1\n", response.body.c_str());
  STRCMP_EQUAL("counters one=1", metrics_line({{"one", 1}, {"none", 0}}).c_str());
}
