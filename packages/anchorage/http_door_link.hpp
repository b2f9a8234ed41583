#pragma once
// One link at an HTTP door.
#include <deque>

#include "anchorage/http_door.hpp"
#include "anchorage/outgoing_bytes.hpp"

namespace wharf {

class HttpDoor::Link final : public Watched {
public:
  enum class Phase : std::uint8_t { reading, serving, ending };
  /// How little the door would lose with a link, the least first.
  enum class Rank : std::uint8_t { resting, sending_request, reading_too_slowly, needed };

  Link(HttpDoor &door, LinkId id, int descriptor, Instant now);
  ~Link() override { shut(); }
  LinkId id() const { return id_; }
  bool is_open() const { return descriptor_ >= 0; }
  Instant since() const { return since_; }
  void shut();
  /// Ends the connection at once, with whatever the kernel still holds for it.
  void reset();

  void ready(std::uint32_t events) override;
  bool read_in();
  void answer(HttpMessage response, bool keeps_link);
  /// False when the link has been too slow or has rested too long.
  bool is_in_time(Instant now);
  /// A request of it is under way and its client has not left.
  bool is_waited_for() const { return phase_ == Phase::serving && !has_ended_; }
  bool is_serving() const { return phase_ == Phase::serving || !outgoing_.is_empty(); }

  Rank rank(Instant now) const;
  std::size_t held_bytes() const { return charge_.bytes(); }
  /// Bytes that `reclaim` would give back now.
  std::size_t reclaimable(Instant now) const;
  /// Gives them back: refuses a request that is not whole, otherwise ends the link.
  void reclaim();

private:
  bool read_end();
  bool parse();
  bool hand_on(Reading reading);
  void note_arrival(std::size_t size);
  void consume(std::size_t size);
  void refuse(int status);
  bool write_out();
  bool go_on();
  void watch();
  /// The next request may be read: none is under way and no answer waits to be sent.
  bool may_read_request() const { return phase_ == Phase::reading && outgoing_.is_empty(); }
  bool is_read_too_slowly(Instant now) const;
  void count_memory();

  HttpDoor &door_;
  LinkId id_;
  int descriptor_;
  Phase phase_ = Phase::reading;
  Instant since_ = 0;
  HttpReader reader_;
  std::string incoming_;
  OutgoingBytes outgoing_;
  /// The answer that is being sent: when it was given, when bytes of it last went, and how many did.
  Instant answered_at_ = 0, progress_at_ = 0;
  std::size_t sent_ = 0;
  /// The bytes that are in `incoming_`, by when they arrived: a request may have waited behind another one.
  struct Arrived {
    std::size_t size = 0;
    Instant at = 0;
  };
  std::deque<Arrived> arrivals_;
  /// When the first byte of the request that is being read arrived.
  Instant begun_at_ = 0;
  MemoryCharge charge_;
  std::uint32_t watched_;
  bool keeps_link_ = true, is_head_ = false, is_held_ = false, has_ended_ = false, is_shut_ = false,
       is_parsing_ = false;
};

} // namespace wharf
