#pragma once
#include <boost/serialization/version.hpp>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "signals/signals.hpp"

namespace wharf {

struct PutSecret {
  std::string secret;
  WHARF_CARRY(secret)
};
/// Takes a manifest; a bound one only in place of version `base`, which is 0 when there is none yet.
struct PutManifest {
  std::string bytes, write_id;
  Version base = 0;
  bool is_bound = false;
  /// The number the operator gives it; 0 for the next.
  Version number = 0;
  WHARF_CARRY(bytes, write_id, base, is_bound, number)
};
/// Takes a manifest with the text its writer keeps with it, both as deltas: from the texts in force at
/// version `put.base` where the write is bound to that, else from nothing. What the state needs of the
/// manifest's limits travels along, so that applying it compiles nothing.
struct PutConfiguration {
  PutManifest put;
  std::string origin;
  std::int64_t claim_keep_ms = 0, unknown_keep_ms = 0;
  WHARF_CARRY(put, origin, claim_keep_ms, unknown_keep_ms)
};
struct PutRoster {
  static constexpr unsigned carried_version = 1;
  std::vector<NodeId> pilots;
  std::vector<std::string> addresses;
  std::vector<NodeId> owner_candidates{};
  template <typename Archive> void serialize(Archive &archive, unsigned version) {
    wharf::carry(archive, pilots, addresses);
    if (version >= 1) wharf::carry(archive, owner_candidates);
  }
};
/// A runner as the group has decided on it.
struct RunnerRecord {
  std::string id, service, worker, image;
  std::uint32_t memory_mb = 0, slots = 1;
  bool is_leaving = false;
  /// The platform's own name for it and where it listens, once the platform has said so at its start.
  std::string handle, address;
  WHARF_CARRY(id, service, worker, image, memory_mb, slots, is_leaving, handle, address)
  /// The name the platform lists it under.
  const std::string &listed_as() const { return handle.empty() ? id : handle; }
};
struct RunnerName {
  std::string id, handle, address;
  WHARF_CARRY(id, handle, address)
};
struct PutRunners {
  std::vector<RunnerRecord> add;
  std::vector<std::string> leaving, gone;
  /// What the platform calls runners it was told to start.
  std::vector<RunnerName> named;
  WHARF_CARRY(add, leaving, gone, named)
};
struct PutClaim {
  std::string key, errand, digest;
  WHARF_CARRY(key, errand, digest)
};
struct PutClose {
  CloseAsk close;
  WHARF_CARRY(close)
};
/// Moves the group's own clock, which no machine's clock can make jump.
struct PutClock {
  std::int64_t elapsed_ms = 0;
  WHARF_CARRY(elapsed_ms)
};

using Command = std::variant<PutSecret, PutManifest, PutRoster, PutRunners, PutClaim, PutClose, PutClock,
                             PutConfiguration>;
std::string pack_command(const Command &command);
bool unpack_command(std::string_view bytes, Command &command);

/// What applying a command came to.
struct Applied {
  bool is_taken = true;
  Version version = 0;
  ClaimSay claim;
};

struct ClaimRecord {
  std::string errand, digest, type, body;
  std::uint8_t state = 0;
  std::int32_t status = 0;
  std::int64_t touched_ms = 0;
  std::vector<KeptHeader> headers;
  WHARF_CARRY(errand, digest, type, body, state, status, touched_ms, headers)
  /// Bytes of the answer kept here.
  std::size_t answer_bytes() const;
};

/// The replicated state: the same commands in the same order give the same state on every replica.
class Registry {
public:
  /// How many of the newest writes are remembered by their marks.
  static constexpr std::size_t writes_kept = 2048;
  Applied apply(const Command &command);
  std::string snapshot() const;
  bool load(std::string_view snapshot);
  /// A digest of the whole state, for comparing replicas.
  std::string fingerprint() const;

  const std::string &secret() const { return secret_; }
  Version version() const { return version_; }
  const std::string &manifest() const { return manifest_; }
  /// The text that the manifest's writer keeps with it; empty when there is none.
  const std::string &origin() const { return origin_; }
  /// The manifest that was in force as this version, or nullptr when it is no longer kept.
  const std::string *manifest_at(Version version) const;
  const Roster &roster() const { return roster_; }
  const std::map<std::string, RunnerRecord> &runners() const { return runners_; }
  const std::map<std::string, ClaimRecord> &claims() const { return claims_; }
  /// The version an operator's write already became, or 0.
  Version version_of_write(const std::string &write_id) const;
  /// Writes that became versions before this one may have been forgotten; 0 when all are still known.
  Version oldest_kept_write() const;
  void set_claim_keep(std::int64_t keep_ms) { claim_keep_ms_ = keep_ms; }
  std::size_t answer_bytes() const { return answer_bytes_; }
  /// The group's own clock, which trails the leader's by one step of it at most.
  std::int64_t clock_ms() const { return clock_ms_; }
  std::uint64_t next_runner() const { return next_runner_; }

private:
  Applied apply_one(const PutSecret &command);
  Applied apply_one(const PutManifest &command);
  Applied apply_one(const PutConfiguration &command);
  /// Whether a write may take the place of the version in force; if not, what it is answered.
  bool may_take(const PutManifest &command, Applied &applied) const;
  Applied take_version(const PutManifest &command, std::string manifest, std::string origin);
  Applied apply_one(const PutRoster &command);
  Applied apply_one(const PutRunners &command);
  Applied apply_one(const PutClaim &command);
  Applied apply_one(const PutClose &command);
  Applied apply_one(const PutClock &command);

  std::string secret_, manifest_, origin_;
  Version version_ = 0;
  /// The manifests of the last few versions before this one, the newest last.
  std::deque<std::pair<Version, std::string>> earlier_manifests_;
  std::deque<std::pair<std::string, Version>> writes_;
  Roster roster_;
  std::map<std::string, RunnerRecord> runners_;
  std::map<std::string, ClaimRecord> claims_;
  std::map<std::string, std::int64_t> released_;
  std::size_t answer_bytes_ = 0;
  std::int64_t clock_ms_ = 0, claim_keep_ms_ = 900'000, unknown_keep_ms_ = 86'400'000;
  std::uint64_t next_runner_ = 1;
};

} // namespace wharf
