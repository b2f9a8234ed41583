#include <string>

#include "charter/charter.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Charter){std::string faults_of(const std::string &bytes){auto read = read_charter(bytes);
std::string text;
if (auto *errors = std::get_if<CharterErrors>(&read)) {
  text = errors->is_syntax ? "syntax " : "";
  for (const Fault &fault : errors->faults) text += fault.path + " ";
}
return text;
}
}
;

TEST(Charter, every_fault_is_named_by_its_path) {
  STRCMP_EQUAL("$.extra ", faults_of(R"({"extra": 1})").c_str());
  STRCMP_EQUAL("$.tenants.t.base $.tenants.t.burst ",
               faults_of(R"({"tenants": {"t": {"base": 0, "burst": 1.5}}})").c_str());
  STRCMP_EQUAL("$.services.s.image $.services.s.slots ",
               faults_of(R"({"services": {"s": {"slots": 99999}}})").c_str());
  STRCMP_EQUAL("$.rules.r ", faults_of(R"({"rules": {"r": "GET /x to nowhere"}})").c_str());
  STRCMP_EQUAL("$.services.s.once ",
               faults_of(R"({"services": {"s": {"image": "i", "once": "yes"}}})").c_str());
  STRCMP_EQUAL("$.tenants.t.keys[0] ", faults_of(R"({"tenants": {"t": {"keys": ["short"]}}})").c_str());
}

TEST(Charter, a_repeated_member_is_refused_wherever_it_is) {
  STRCMP_EQUAL("$.tenants.t.base ", faults_of(R"({"tenants": {"t": {"base": 1, "base": 2}}})").c_str());
  STRCMP_EQUAL("$.rules ", faults_of(R"({"rules": {}, "rules": {}})").c_str());
}

TEST(Charter, broken_json_is_a_syntax_fault) {
  STRCMP_EQUAL("syntax $ ", faults_of("{\"tenants\": ").c_str());
  STRCMP_EQUAL("syntax $ ", faults_of("").c_str());
}

TEST(Charter, one_key_cannot_belong_to_two_tenants) {
  STRCMP_EQUAL(
      "$.tenants.b.keys ",
      faults_of(R"({"tenants": {"a": {"keys": ["12345678"]}, "b": {"keys": ["12345678"]}}})").c_str());
}

TEST(Charter, a_patch_removes_with_null_and_keeps_the_rest) {
  auto merged = merge_charter(R"({"tenants": {"a": {"base": 5}, "b": {"base": 6}}})",
                              R"({"tenants": {"a": null, "b": {"burst": 7}}})");
  auto read = read_charter(std::get<std::string>(merged));
  const auto &charter = *std::get<std::shared_ptr<const Charter>>(read);
  CHECK(charter.tenant_named("a") == nullptr);
  LONGS_EQUAL(6, charter.tenant_named("b")->base);
  LONGS_EQUAL(7, charter.tenant_named("b")->burst);
}
