// Snapshots of the state: taking one in place of the log before it, and sending one in parts to a replica
// that is too far behind for entries.
#include "raft/raft.hpp"

#include <algorithm>

#include "signals/pack.hpp"

namespace wharf {

bool RaftNode::is_sending_snapshot() const {
  return is_leader() && std::any_of(progress_.begin(), progress_.end(),
                                    [](const auto &item) { return item.second.snapshot != nullptr; });
}

void RaftNode::send_snapshot(NodeId to, Progress &progress, Instant now, RaftOutput &out) {
  if (!progress.snapshot) {
    progress.snapshot = std::make_shared<const Snapshot>(base_);
    progress.snapshot_received = 0;
    progress.snapshot_sent_at = 0;
  }
  const Snapshot &snapshot = *progress.snapshot;
  if (progress.snapshot_sent_at != 0 && now - progress.snapshot_sent_at < options_.snapshot_retry) {
    out.mail.push_back(
        {to, {}, AppendEntriesRequest{hard_.group, hard_.term, snapshot.index, snapshot.term, 0, now, {}}});
    return;
  }
  progress.snapshot_sent_at = now;
  InstallSnapshotRequest part{
      hard_.group, hard_.term, snapshot.index, snapshot.term, now, snapshot.replicas, {}, 0, 0};
  part.offset = std::min<std::uint64_t>(progress.snapshot_received, snapshot.body.size());
  part.total = snapshot.body.size();
  part.body = snapshot.body.substr(part.offset, options_.snapshot_chunk_bytes);
  out.mail.push_back({to, {}, std::move(part)});
}

void RaftNode::compact(std::uint64_t index, std::string body, RaftOutput &out) {
  if (index <= base_.index || index > delivered_) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = term_at(index);
  snapshot.replicas = base_.replicas;
  for (const Entry &entry : log_)
    if (entry.index <= index && entry.kind == static_cast<std::uint8_t>(EntryKind::replicas))
      unpack(entry.body, snapshot.replicas);
  snapshot.body = std::move(body);
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
  base_ = std::move(snapshot);
  WriteBatch &batch = save(out);
  batch.snapshot = base_;
  batch.append.assign(log_.begin(), log_.end());
  out.batches.push_back(std::move(*building_));
  building_.reset();
}

void RaftNode::handle(NodeId from, const InstallSnapshotResponse &say, Instant now, RaftOutput &out) {
  const auto found = progress_.find(from);
  if (!is_leader() || say.group != hard_.group || say.term != hard_.term || found == progress_.end()) return;
  Progress &progress = found->second;
  progress.heard = now;
  progress.acked = std::max(progress.acked, say.sent_at);
  if (!progress.snapshot || say.index != progress.snapshot->index) return;
  const bool has_grown = say.held > progress.snapshot_received;
  progress.snapshot_received = say.held;
  if (!has_grown) return;
  progress.snapshot_sent_at = 0;
  send_append(from, now, out);
}

void RaftNode::handle(NodeId from, const InstallSnapshotRequest &ask, Instant now, RaftOutput &out) {
  if (ask.group != hard_.group || ask.term < hard_.term) return;
  follow(ask.term, from, now, out);
  heard_leader_ = now;
  set_election(now);
  last_sent_at_ = ask.sent_at;
  if (ask.index <= commit_) {
    verified_ = std::max(verified_, commit_);
    after_.push_back(
        {from,
         {},
         AppendEntriesResponse{hard_.group, hard_.term, std::min(synced_, commit_), true, ask.sent_at}});
    return;
  }
  if (ask.index <= last_index() && term_at(ask.index) == ask.last_term) {
    commit_ = ask.index;
    verified_ = std::max(verified_, ask.index);
    deliver(out);
    after_.push_back(
        {from,
         {},
         AppendEntriesResponse{hard_.group, hard_.term, std::min(synced_, verified_), true, ask.sent_at}});
    return;
  }
  if (incoming_snapshot_.index != ask.index || incoming_snapshot_.term != ask.last_term)
    incoming_snapshot_ = {ask.index, ask.last_term, {}, {}};
  if (ask.offset == incoming_snapshot_.body.size()) incoming_snapshot_.body += ask.body;
  if (incoming_snapshot_.body.size() < ask.total) {
    out.mail.push_back({from,
                        {},
                        InstallSnapshotResponse{hard_.group, hard_.term, ask.index,
                                                incoming_snapshot_.body.size(), ask.sent_at}});
    return;
  }
  log_.clear();
  base_ = Snapshot{ask.index, ask.last_term, ask.replicas, std::move(incoming_snapshot_.body)};
  incoming_snapshot_ = {};
  commit_ = delivered_ = verified_ = ask.index;
  synced_ = 0;
  refresh_replicas();
  WriteBatch &batch = save(out);
  batch.cut_from = 1;
  batch.snapshot = base_;
  out.committed.clear();
  out.load = base_;
}

} // namespace wharf
