#include "control/registry.hpp"

#include <algorithm>

#include "charter/charter.hpp"
#include "delta/delta.hpp"
#include "seal/seal.hpp"
#include "signals/pack.hpp"

namespace wharf {

namespace {
constexpr std::size_t past_kept = 12;
/// Versions before the one in force whose manifests are kept, so that who has them is sent what differs.
constexpr std::size_t earlier_kept = 4;
/// Begins snapshots of the present layout; those without it are of the layout before, whose manifest stood as
/// it is.
constexpr std::string_view snapshot_mark = "WHJSTATE3";
constexpr std::size_t claims_most = 400'000;
constexpr std::size_t answer_bytes_most = 32u << 20;
constexpr std::int64_t release_keep_ms = 120'000;

struct PackCommand {
  template <typename One> std::string operator()(const One &command) const { return pack(command); }
};

struct State {
  std::string secret, manifest;
  Version version = 0;
  std::vector<std::string> write_ids;
  std::vector<Version> write_versions;
  Roster roster;
  std::map<std::string, RunnerRecord> runners;
  std::map<std::string, ClaimRecord> claims;
  std::map<std::string, std::int64_t> released;
  std::int64_t clock_ms = 0, claim_keep_ms = 0, unknown_keep_ms = 0;
  std::uint64_t next_runner = 1;
  WHARF_CARRY(secret, manifest, version, write_ids, write_versions, roster, runners, claims, released,
              clock_ms, claim_keep_ms, unknown_keep_ms, next_runner)
};

/// The present layout: the manifest and its origin are compressed.
struct CompressedState {
  State state;
  std::string manifest, origin;
  WHARF_CARRY(state, manifest, origin)
};
} // namespace

std::string pack_command(const Command &command) {
  return std::string(1, static_cast<char>(command.index())) + std::visit(PackCommand{}, command);
}

bool unpack_command(std::string_view bytes, Command &command) {
  return !bytes.empty() && unpack_choice(static_cast<unsigned char>(bytes[0]), bytes.substr(1), command);
}

std::size_t ClaimRecord::answer_bytes() const {
  std::size_t bytes = type.size() + body.size();
  for (const KeptHeader &header : headers) bytes += header.name.size() + header.value.size();
  return bytes;
}

Applied Registry::apply(const Command &command) {
  return std::visit([this](const auto &one) { return apply_one(one); }, command);
}

Version Registry::version_of_write(const std::string &write_id) const {
  for (const auto &[id, version] : writes_)
    if (id == write_id) return version;
  return 0;
}

Version Registry::oldest_kept_write() const {
  return writes_.size() < writes_kept ? 0 : writes_.front().second;
}

Applied Registry::apply_one(const PutSecret &command) {
  if (secret_.empty()) secret_ = command.secret;
  return {};
}

bool Registry::may_take(const PutManifest &command, Applied &applied) const {
  if (!command.write_id.empty()) {
    if (const Version earlier = version_of_write(command.write_id); earlier != 0) {
      applied.version = earlier;
      return false;
    }
  }
  const bool is_behind = command.number != 0 && command.number <= version_;
  if ((command.is_bound && command.base != version_) || is_behind) {
    applied.is_taken = false;
    applied.version = version_;
    return false;
  }
  return true;
}

Applied Registry::take_version(const PutManifest &command, std::string manifest, std::string origin) {
  if (version_ != 0) earlier_manifests_.emplace_back(version_, std::move(manifest_));
  if (earlier_manifests_.size() > earlier_kept) earlier_manifests_.pop_front();
  manifest_ = std::move(manifest);
  origin_ = std::move(origin);
  version_ = command.number != 0 ? command.number : version_ + 1;
  if (!command.write_id.empty()) {
    writes_.emplace_back(command.write_id, version_);
    if (writes_.size() > writes_kept) writes_.pop_front();
  }
  Applied applied;
  applied.version = version_;
  return applied;
}

Applied Registry::apply_one(const PutManifest &command) {
  Applied applied;
  if (!may_take(command, applied)) return applied;
  if (auto read = read_charter(command.bytes);
      auto *charter = std::get_if<std::shared_ptr<const Charter>>(&read)) {
    claim_keep_ms_ = (*charter)->limits.claim_keep_s * 1000;
    unknown_keep_ms_ = (*charter)->limits.unknown_keep_s * 1000;
  }
  return take_version(command, command.bytes, {});
}

Applied Registry::apply_one(const PutConfiguration &command) {
  Applied applied;
  if (!may_take(command.put, applied)) return applied;
  const bool is_bound = command.put.is_bound;
  auto manifest = decode_delta(is_bound ? manifest_ : std::string_view(), command.put.bytes);
  auto origin = decode_delta(is_bound ? origin_ : std::string_view(), command.origin);
  if (!manifest || !origin) {
    applied.is_taken = false;
    applied.version = version_;
    return applied;
  }
  claim_keep_ms_ = command.claim_keep_ms;
  unknown_keep_ms_ = command.unknown_keep_ms;
  return take_version(command.put, std::move(*manifest), std::move(*origin));
}

const std::string *Registry::manifest_at(Version version) const {
  if (version == version_ && version != 0) return &manifest_;
  for (const auto &[number, manifest] : earlier_manifests_)
    if (number == version) return &manifest;
  return nullptr;
}

Applied Registry::apply_one(const PutRoster &command) {
  if (roster_.epoch != 0) {
    roster_.past.push_back(
        {roster_.epoch, roster_.pilots, roster_.addresses, roster_.taken_ms, roster_.owner_candidates});
    if (roster_.past.size() > past_kept) roster_.past.erase(roster_.past.begin());
  }
  roster_.is_first = roster_.epoch == 0;
  ++roster_.epoch;
  roster_.pilots = command.pilots;
  roster_.addresses = command.addresses;
  roster_.owner_candidates = command.owner_candidates;
  roster_.taken_ms = clock_ms_;
  return {};
}

Applied Registry::apply_one(const PutRunners &command) {
  for (const RunnerRecord &record : command.add) {
    runners_.emplace(record.id, record);
    ++next_runner_;
  }
  for (const std::string &id : command.leaving) {
    const auto found = runners_.find(id);
    if (found != runners_.end()) found->second.is_leaving = true;
  }
  for (const RunnerName &name : command.named) {
    const auto found = runners_.find(name.id);
    if (found == runners_.end()) continue;
    found->second.handle = name.handle;
    found->second.address = name.address;
  }
  for (const std::string &id : command.gone) runners_.erase(id);
  return {};
}

Applied Registry::apply_one(const PutClaim &command) {
  Applied applied;
  ClaimSay &say = applied.claim;
  say.errand = command.errand;
  if (released_.contains(command.errand)) {
    say.state = static_cast<std::uint8_t>(ClaimState::refused);
    return applied;
  }
  const auto found = claims_.find(command.key);
  if (found == claims_.end()) {
    if (claims_.size() >= claims_most) {
      say.state = static_cast<std::uint8_t>(ClaimState::refused);
      return applied;
    }
    ClaimRecord record;
    record.errand = command.errand;
    record.digest = command.digest;
    record.touched_ms = clock_ms_;
    record.state = static_cast<std::uint8_t>(ClaimState::in_flight);
    claims_.emplace(command.key, std::move(record));
    say.state = static_cast<std::uint8_t>(ClaimState::first);
    return applied;
  }
  const ClaimRecord &record = found->second;
  say.first_errand = record.errand;
  if (record.errand == command.errand && record.state == static_cast<std::uint8_t>(ClaimState::in_flight))
    say.state = static_cast<std::uint8_t>(ClaimState::first);
  else if (record.digest != command.digest)
    say.state = static_cast<std::uint8_t>(ClaimState::mismatch);
  else {
    say.state = record.state;
    say.status = record.status;
    say.type = record.type;
    say.body = record.body;
    say.headers = record.headers;
  }
  return applied;
}

Applied Registry::apply_one(const PutClose &command) {
  const CloseAsk &close = command.close;
  const auto found = claims_.find(close.key);
  const auto closed_as = static_cast<ClosedAs>(close.closed_as);
  const bool is_ours = found != claims_.end() && found->second.errand == close.errand &&
                       found->second.state == static_cast<std::uint8_t>(ClaimState::in_flight);
  if (closed_as == ClosedAs::not_run) {
    if (is_ours) claims_.erase(found);
    released_[close.errand] = clock_ms_;
    return {};
  }
  if (!is_ours) return {};
  ClaimRecord &record = found->second;
  record.touched_ms = clock_ms_;
  if (closed_as != ClosedAs::run) {
    record.state = static_cast<std::uint8_t>(ClaimState::unknown);
    return {};
  }
  ClaimRecord kept = record;
  kept.state = static_cast<std::uint8_t>(ClaimState::recorded);
  kept.status = close.status;
  kept.type = close.type;
  kept.body = close.body;
  kept.headers = close.headers;
  if (!close.is_whole || answer_bytes_ + kept.answer_bytes() > answer_bytes_most) {
    record.state = static_cast<std::uint8_t>(ClaimState::not_kept);
    return {};
  }
  answer_bytes_ += kept.answer_bytes();
  record = std::move(kept);
  return {};
}

Applied Registry::apply_one(const PutClock &command) {
  clock_ms_ += std::max<std::int64_t>(0, command.elapsed_ms);
  std::erase_if(claims_, [this](const auto &item) {
    const auto state = static_cast<ClaimState>(item.second.state);
    const bool has_end = state == ClaimState::recorded || state == ClaimState::not_kept;
    const std::int64_t keep_ms = has_end ? claim_keep_ms_ : std::max(claim_keep_ms_, unknown_keep_ms_);
    const bool is_over = clock_ms_ - item.second.touched_ms > keep_ms;
    if (is_over) answer_bytes_ -= item.second.answer_bytes();
    return is_over;
  });
  std::erase_if(released_, [this](const auto &item) { return clock_ms_ - item.second > release_keep_ms; });
  return {};
}

std::string Registry::snapshot() const {
  CompressedState whole;
  whole.manifest = encode_delta({}, manifest_);
  whole.origin = encode_delta({}, origin_);
  State &state = whole.state;
  state.secret = secret_;
  state.version = version_;
  state.roster = roster_;
  state.runners = runners_;
  state.claims = claims_;
  state.released = released_;
  state.clock_ms = clock_ms_;
  state.claim_keep_ms = claim_keep_ms_;
  state.unknown_keep_ms = unknown_keep_ms_;
  state.next_runner = next_runner_;
  for (const auto &[id, version] : writes_) {
    state.write_ids.push_back(id);
    state.write_versions.push_back(version);
  }
  return std::string(snapshot_mark) + pack(whole);
}

bool Registry::load(std::string_view snapshot) {
  CompressedState whole;
  State &state = whole.state;
  std::string origin;
  if (snapshot.starts_with(snapshot_mark)) {
    if (!unpack(snapshot.substr(snapshot_mark.size()), whole)) return false;
    auto manifest_text = decode_delta({}, whole.manifest);
    auto origin_text = decode_delta({}, whole.origin);
    if (!manifest_text || !origin_text) return false;
    state.manifest = std::move(*manifest_text);
    origin = std::move(*origin_text);
  } else if (!snapshot.empty() && !unpack(snapshot, state)) {
    return false;
  }
  origin_ = std::move(origin);
  earlier_manifests_.clear();
  secret_ = state.secret;
  manifest_ = state.manifest;
  version_ = state.version;
  writes_.clear();
  for (std::size_t at = 0; at < state.write_ids.size(); ++at)
    writes_.emplace_back(state.write_ids[at], state.write_versions[at]);
  roster_ = state.roster;
  runners_ = state.runners;
  claims_ = state.claims;
  answer_bytes_ = 0;
  for (const auto &[key, record] : claims_) answer_bytes_ += record.answer_bytes();
  released_ = state.released;
  clock_ms_ = state.clock_ms;
  if (state.claim_keep_ms != 0) claim_keep_ms_ = state.claim_keep_ms;
  if (state.unknown_keep_ms != 0) unknown_keep_ms_ = state.unknown_keep_ms;
  next_runner_ = state.next_runner;
  return true;
}

std::string Registry::fingerprint() const { return digest_hex(snapshot()); }

} // namespace wharf
