#include <map>
#include <string>

#include "compass/compass.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Compass){std::string faults_of(const std::map<std::string, std::string> &texts){
    auto compiled = Compass::compile(texts);
std::string text;
if (auto *errors = std::get_if<std::vector<RuleError>>(&compiled))
  for (const RuleError &error : *errors)
    text += error.name + ":" + std::to_string(error.line) + ":" + std::to_string(error.column) + " ";
return text;
}
std::string found(const std::map<std::string, std::string> &texts, const std::string &method,
                  const std::string &target, const std::string &tenant) {
  auto compiled = Compass::compile(texts);
  std::vector<std::string> segments;
  if (!split_path(target, segments)) return "malformed";
  const Rule *rule = std::get<Compass>(compiled).find(method, segments, tenant);
  return rule == nullptr ? "none" : rule->name;
}
}
;

TEST(Compass, the_more_specific_rule_goes_first) {
  const std::map<std::string, std::string> texts{{"a", "* /x/** to s"},
                                                 {"b", "GET /x/*/y to s"},
                                                 {"c", "GET /x/1/y for t to s"},
                                                 {"d", "GET /x/1/y to s"},
                                                 {"e", "* /** to s"}};
  STRCMP_EQUAL("c", found(texts, "GET", "/x/1/y?q=1", "t").c_str());
  STRCMP_EQUAL("d", found(texts, "GET", "/x/1/y", "u").c_str());
  STRCMP_EQUAL("b", found(texts, "GET", "/x/2/y", "t").c_str());
  STRCMP_EQUAL("a", found(texts, "POST", "/x/2/y", "t").c_str());
  STRCMP_EQUAL("e", found(texts, "POST", "/z", "t").c_str());
}

TEST(Compass, a_fault_is_named_with_line_and_column) {
  STRCMP_EQUAL("r:1:5 ", faults_of({{"r", "GET x to s"}}).c_str());
  STRCMP_EQUAL("r:2:3 ", faults_of({{"r", "GET /x\nto"}}).c_str());
  STRCMP_EQUAL("r:1:8 ", faults_of({{"r", "GET /x/a*b to s"}}).c_str());
  STRCMP_EQUAL("r:1:5 ", faults_of({{"r", "GET|PUSH /x to s"}}).c_str());
  STRCMP_EQUAL("r:1:22 ", faults_of({{"r", "GET /x to s weight 1 extra"}}).c_str());
}

TEST(Compass, rules_no_order_can_tell_apart_are_refused) {
  STRCMP_EQUAL("b:1:1 ", faults_of({{"a", "GET /x to s"}, {"b", "GET|PUT /x to t"}}).c_str());
  STRCMP_EQUAL("", faults_of({{"a", "GET /x to s"}, {"b", "PUT /x to t"}}).c_str());
}

TEST(Compass, paths_that_could_mean_two_things_are_malformed) {
  for (const char *target : {"/a/../b", "/a/%2e%2e/b", "/a/%zz", "/a/%0", "a/b", "/a/%00"})
    STRCMP_EQUAL("malformed", found({{"a", "* /** to s"}}, "GET", target, "t").c_str());
}

TEST(Compass, weights_divide_errands_and_an_errand_keeps_its_target) {
  auto compiled = compile_rule("r", "* /x to old weight 90, new weight 10");
  const Rule &rule = std::get<Rule>(compiled);
  int fresh = 0;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    fresh += elect_target(rule, hash).service == "new" ? 1 : 0;
    CHECK(&elect_target(rule, hash) == &elect_target(rule, hash));
  }
  LONGS_EQUAL(100, fresh);
}
