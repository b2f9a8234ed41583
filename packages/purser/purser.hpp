#pragma once
#include <deque>
#include <map>
#include <string>

#include "signals/signals.hpp"
#include "tide/backoff.hpp"

namespace wharf {

/// What a tenant may spend, as the manifest in force says.
struct Allowance {
  double base = 0, burst = 0;
  bool operator==(const Allowance &) const = default;
};

struct PurserOptions {
  Span window = milliseconds(100);
  Span life = milliseconds(250);
  Span quota_window = seconds(5);
  Span handover_patience = milliseconds(300);
  /// How long a replica may take to acknowledge before its part is sent again; twice as long after each time,
  /// up to the longest.
  Span copy_again = milliseconds(80), copy_again_most = milliseconds(80);
  /// How often a replica gets the whole ledger; between, only each new charge.
  Span copy_whole = seconds(2);
  /// Unacknowledged charges that go along with each new one, so that a lost message delays none of them.
  std::size_t charges_repeated = 8;
  double permit_share = 0.10;
  /// What all nodes together may spend of base a second while an owner is silent, and for how long a
  /// successor takes it that they did.
  double fallback_share = 0.05;
  Span fallback_taken = 0;
  double fallback_taken_share = 1;
  /// What an owner that knows nothing may grant above what is proven left, as a share of a quota window's
  /// allowance.
  double start_slack = 0;
  /// How long after the end of the pilots before something they sent may still arrive.
  Span arrive_late = milliseconds(250);
  /// Charges that end within the same of these spans are kept as one.
  Span charge_step = milliseconds(100);
  /// Multiplies every allowance; other than 1 only to show that a checker can fail.
  double slack = 1;
};

/// Owner and replica of tenants' allowances, as a pure state machine.
class Purser {
public:
  Purser(NodeId self, PurserOptions options);
  void set_allowances(std::map<std::string, Allowance> allowances, Instant now);
  void set_roster(const Roster &roster, Epoch settled, Instant now, Outbox &out);
  /// Until when this node may act as an owner at all.
  void set_fresh_until(Instant until) { fresh_until_ = until; }
  /// How long ago every pilot of earlier rosters had provably ended; a debt of unknown grants is paid by
  /// that.
  void set_quiet(Span quiet) { quiet_ = quiet; }
  void step(NodeId from, const Signal &signal, Instant now, Outbox &out);
  void tick(Instant now, Outbox &out);

  /// True when this node grants for the tenant now.
  bool is_granting(const std::string &tenant, Instant now) const;
  /// True while a successor has not yet taken over what this node knew.
  bool is_handing_over(Instant now) const;
  std::uint64_t granted() const { return granted_; }
  std::uint64_t denied() const { return denied_; }
  std::uint64_t tokens_granted() const { return tokens_granted_; }
  /// Ledgers sent to replicas whole.
  std::uint64_t whole_copies() const { return whole_copies_; }
  std::uint64_t unknown_starts() const { return unknown_starts_; }

private:
  enum class Post : std::uint8_t { none, replica, awaiting, ready };
  struct Entry {
    std::uint64_t permit = 0;
    NodeId node = 0;
    std::uint32_t tokens = 0, granted = 0, gone = 0;
    Instant expires = 0;
    bool is_open = false, is_final = false;
    std::uint64_t sequence = 0;
  };
  struct Answer {
    std::uint64_t sequence = 0;
    NodeId to = 0;
    PermitSay say;
  };
  /// The last ask of a node that was granted, to be answered alike when it is sent again.
  struct GrantedAsk {
    std::uint64_t ask = 0, sequence = 0;
    PermitSay say;
    Instant at = 0;
  };
  struct Ledger {
    Post post = Post::none;
    double tokens = 0;
    Instant refilled_at = 0;
    std::deque<Entry> charges;
    std::uint64_t sequence = 0, next_permit = 0;
    /// At a replica: up to where the ledger was sent whole.
    std::uint64_t whole_sequence = 0;
    Epoch copy_epoch = 0;
    bool has_copy = false;
    /// Permits of earlier epochs may be out that this ledger has never seen.
    Epoch blind_before = 0;
    Instant settled_at = 0, handed_over_at = 0, whole_at = 0;
    std::deque<Answer> answers;
    /// Charges that the replica has not acknowledged yet, by sequence number.
    std::map<std::uint64_t, Entry> unacked;
    /// Whether the replica of this epoch was sent the whole ledger, so that new charges alone will do, and
    /// whether it has acknowledged one.
    bool is_followed = false, is_whole_acked = false;
    Backoff resend;
    std::map<NodeId, GrantedAsk> granted_asks;
    NodeId handover_to = 0;
    Epoch handover_epoch = 0;
    Instant handover_until = 0;
  };

  void handle(NodeId from, const PermitAsk &ask, Instant now, Outbox &out);
  void handle(NodeId from, const LedgerCopy &copy, Instant now, Outbox &out);
  void handle(NodeId from, const LedgerAck &ack, Instant now, Outbox &out);
  void refill(const Allowance &allowance, Ledger &ledger, Instant now);
  /// Takes one return into its entry; errands newly gone are added to `closed`.
  void take_return(const Allowance &allowance, Ledger &ledger, Entry &entry, const PermitReturn &item,
                   std::vector<Entry> &closed, Instant now);
  void take_returns(const Allowance &allowance, Ledger &ledger, NodeId from,
                    const std::vector<PermitReturn> &returns, Instant now);
  LedgerCopy copy_of(const std::string &tenant, const Ledger &ledger, Instant now, bool is_handover) const;
  static Charge charge_of(const Entry &entry, Instant now);
  static Entry entry_of(const Charge &charge, Instant now);
  NodeId owner_in(const std::vector<NodeId> &pilots, const std::string &tenant) const;
  NodeId replica_in(const std::vector<NodeId> &pilots, const std::string &tenant) const;
  void hand_over(const std::string &tenant, Ledger &ledger, NodeId owner, Instant now, Outbox &out);
  bool is_direct_word(const LedgerCopy &copy, NodeId from) const;
  bool was_owner_since(Epoch epoch, const std::string &tenant) const;
  bool is_copy_whole(const std::string &tenant, const Ledger &ledger) const;
  void begin(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out);
  /// Keeps tokens charged until they are older than the quota window.
  void charge(Ledger &ledger, std::uint32_t tokens, Instant expires) const;
  void start_unknown(const Allowance &allowance, Ledger &ledger, Instant now);
  /// Sends the replica the whole ledger.
  void send_copy(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out);
  /// Sends the replica unacknowledged charges from a sequence number on.
  void send_charges_from(std::uint64_t sequence, const std::string &tenant, Ledger &ledger, Instant now,
                         Outbox &out);
  /// The first of the unacknowledged charges that go along with the newest.
  std::uint64_t oldest_repeated(const Ledger &ledger) const;
  /// Sends the newest charges, now and then the whole ledger.
  void send_charge(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out);
  /// Sends again what the replica has not acknowledged for too long.
  void resend_unacked(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out);
  /// Answers an ask that was granted before as it was then; false when it was not.
  bool answer_again(const Ledger &ledger, NodeId from, const PermitAsk &ask, Outbox &out) const;
  /// Adds single charges to this replica's ledger, each once, and names them in the acknowledgement.
  static void add_charges(Ledger &ledger, const LedgerCopy &copy, Instant now, LedgerAck &ack);
  /// Takes a ledger that was sent whole; charges that were added to it before it came are kept.
  static void take_whole(Ledger &ledger, const LedgerCopy &copy, Instant now);
  /// Sends the answers whose charges the replica holds.
  static void release(Ledger &ledger, Outbox &out);
  /// Forgets what only the owner of an epoch keeps.
  static void forget_owner_state(Ledger &ledger);

  NodeId self_;
  PurserOptions options_;
  std::map<std::string, Allowance> allowances_;
  std::map<std::string, Ledger> ledgers_;
  Roster roster_;
  Epoch settled_ = 0;
  Instant settled_at_ = 0, fresh_until_ = 0;
  Span quiet_ = 0;
  std::uint64_t granted_ = 0, denied_ = 0, unknown_starts_ = 0;
  std::uint64_t tokens_granted_ = 0, whole_copies_ = 0;
};

} // namespace wharf
