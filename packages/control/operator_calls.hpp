#pragma once
// What operators ask of the control group, and what it answers.
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "charter/charter.hpp"
#include "memory/memory_account.hpp"
#include "signals/identity.hpp"

namespace wharf {

enum class OperatorVerb : std::uint8_t {
  get_manifest,
  get_version,
  get_status,
  put_manifest,
  patch_manifest,
  try_manifest,
  try_patch
};

/// A manifest, and the text that its writer keeps with it and gets back with it.
struct ConfigurationText {
  std::string manifest, origin;
};
/// Makes the next configuration by a writer's own rules out of the text that is kept with the one in force,
/// or says what is wrong. That text is empty before the first.
using ConfigurationMerge =
    std::function<std::variant<ConfigurationText, CharterErrors>(const std::string &origin)>;

/// One call of the operators' API, already read.
struct OperatorAsk {
  std::uint64_t ticket = 0;
  OperatorVerb verb = OperatorVerb::get_status;
  std::string body, if_match, write_id;
  /// What the writer keeps with the manifest and gets back with it: any text.
  std::string origin{};
  /// How a patch is merged; where there is none, `body` is a merge patch of the manifest.
  ConfigurationMerge merge{};
  /// What the order takes of its process's memory, counted until it is decided or forgotten.
  std::shared_ptr<const MemoryCharge> charge{};
};
struct OperatorSay {
  std::uint64_t ticket = 0;
  int status = 200;
  Version version = 0;
  std::string body;
  /// Where the leader's API is, when this replica cannot answer.
  std::string leader_http;
  /// What the manifest's writer keeps with it, for reads.
  std::string origin{};
};

} // namespace wharf
