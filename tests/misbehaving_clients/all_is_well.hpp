#pragma once
// What must hold beside a crowd and after it, whichever daemons it meets.
#include <string>

#include "misbehaving_clients/crowd.hpp"

#include <CppUTest/TestHarness.h>

namespace wharf {

/// How long a crowd presses, in seconds: longer than a request's head may take to arrive.
constexpr double press_s = 5;

/// All that holds while a crowd is there and after it.
template <typename Rig> void check_all_is_well(Rig &rig, Crowd &crowd) {
  const bool is_served_beside = rig.serves_an_ordinary_request();
  const bool is_operated_beside = rig.answers_the_operator();
  const std::string broken_beside = rig.broken_bound();
  crowd.release();
  const bool is_served_after = rig.serves_an_ordinary_request();
  const bool is_operated_after = rig.answers_the_operator();
  STRCMP_EQUAL("", broken_beside.c_str());
  STRCMP_EQUAL("", rig.broken_bound().c_str());
  CHECK_TEXT(is_served_beside, "no ordinary request was answered beside the crowd");
  CHECK_TEXT(is_operated_beside, "the operator was not answered beside the crowd");
  CHECK_TEXT(is_served_after, "no ordinary request was answered after the crowd");
  CHECK_TEXT(is_operated_after, "the operator was not answered after the crowd");
}

template <typename Rig> void press_and_check(Rig &rig, Crowd &crowd) {
  crowd.press(press_s);
  check_all_is_well(rig, crowd);
}

} // namespace wharf
