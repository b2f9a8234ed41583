#include "soak/clients.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf::soak {

namespace {
constexpr Span connect_within = milliseconds(500), past_deadline = milliseconds(500);
constexpr Span reconnect_after = milliseconds(30);
/// Work that lasts long enough for its client to leave, in milliseconds.
constexpr int long_work_ms = 2500;
/// Work of other requests: in the mean that of the users' busiest service.
constexpr int work_least_ms = 20, work_most_ms = 200;
constexpr std::size_t slow_body = 20'000, slow_pieces = 10;
constexpr Span slow_gap = milliseconds(90);
constexpr std::size_t in_line_most = 3;
} // namespace

class ClientPool::Client final : public Watched {
public:
  Client(ClientPool &pool, ClientKind kind, std::size_t edge) : pool_(pool), kind_(kind), edge_(edge) {}
  ~Client() override { disconnect(); }

  void tick(Instant now) {
    if (descriptor_ >= 0 && !is_up_ && now - opened_at_ > connect_within) lose(now, RequestEnd::closed);
    if (!under_way_.empty()) watch_over(now);
    if (!pieces_.empty() && now >= piece_at_) send_piece(now);
    if (now < next_at_) return;
    const bool may_send =
        under_way_.size() < (kind_ == ClientKind::in_line ? in_line_most : 1) && pieces_.empty();
    if (!may_send || pool_.is_stopping_) return;
    if (descriptor_ < 0) connect(now);
    if (descriptor_ >= 0 && is_up_) send_request(now);
  }

  bool is_idle() const { return under_way_.empty(); }

  void ready(std::uint32_t events) override {
    const Instant now = clock_.now();
    if (descriptor_ < 0) return;
    if (!is_up_) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) return lose(now, RequestEnd::closed);
      is_up_ = (events & EPOLLOUT) != 0;
      if (!is_up_) return;
      pool_.loop_.change(descriptor_, EPOLLIN, *this);
      return;
    }
    if ((events & EPOLLOUT) != 0 && !write_out(now)) return lose(now, RequestEnd::closed);
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read_in(now);
  }

private:
  struct UnderWay {
    std::size_t record = 0;
    Instant deadline = 0, leaves_at = 0;
  };

  void connect(Instant now) {
    if (kind_ == ClientKind::probe)
      edge_ = (edge_ + 1) % pool_.options_.edges.size();
    else
      edge_ = pool_.random_.index(pool_.options_.edges.size());
    descriptor_ = open_call(pool_.options_.edges[edge_].address, seconds(10));
    opened_at_ = now;
    is_up_ = false;
    reader_ = std::make_unique<HttpReader>(HttpReader::Side::responses);
    sent_on_connection_ = 0;
    if (descriptor_ >= 0)
      pool_.loop_.add(descriptor_, EPOLLOUT, *this);
    else
      next_at_ = now + reconnect_after;
  }

  RequestSpec make_request() {
    Random &random = pool_.random_;
    RequestSpec spec;
    spec.id = "q" + std::to_string(pool_.next_++);
    spec.is_repeatable =
        kind_ != ClientKind::slow_sender && (kind_ == ClientKind::leaver || random.percent(65));
    spec.path = spec.is_repeatable ? "/again/x" : "/once/x";
    spec.work_ms = kind_ == ClientKind::leaver
                       ? long_work_ms
                       : static_cast<int>(random.between(work_least_ms, work_most_ms));
    if (kind_ == ClientKind::slow_sender) spec.body_bytes = slow_body;
    if (kind_ == ClientKind::probe) {
      spec.is_repeatable = true;
      spec.path = pool_.probe_.version == 0 ? "/again/x" : pool_.probe_.path;
      spec.work_ms = 1;
    }
    return spec;
  }

  void send_request(Instant now) {
    const RequestSpec spec = make_request();
    RequestRecord record;
    record.id = spec.id;
    record.process = pool_.options_.edges[edge_].name;
    record.is_repeatable = spec.is_repeatable;
    record.is_first_in_line = under_way_.empty();
    record.needs_version = kind_ == ClientKind::probe ? pool_.probe_.version : 0;
    pool_.records_.push_back(record);
    UnderWay item{pool_.records_.size() - 1, now + milliseconds(spec.deadline_ms), 0};
    if (kind_ == ClientKind::leaver)
      item.leaves_at = now + pool_.random_.span(milliseconds(80), milliseconds(600));
    under_way_.push_back(item);
    ++sent_on_connection_;
    const std::string bytes = request_bytes(pool_.wire_.request(spec));
    next_at_ = now + pool_.draw_pause(now);
    if (kind_ == ClientKind::slow_sender) {
      const std::size_t size = bytes.size() / slow_pieces + 1;
      for (std::size_t at = 0; at < bytes.size(); at += size) pieces_.push_back(bytes.substr(at, size));
      send_piece(now);
      return;
    }
    outgoing_ += bytes;
    if (!write_out(now)) lose(now, RequestEnd::closed);
  }

  void send_piece(Instant now) {
    outgoing_ += pieces_.front();
    pieces_.pop_front();
    piece_at_ = now + slow_gap;
    if (!write_out(now)) lose(now, RequestEnd::closed);
  }

  bool write_out(Instant now) {
    while (!outgoing_.empty()) {
      const ssize_t count = ::send(descriptor_, outgoing_.data(), outgoing_.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0 && errno != EAGAIN) return false;
      if (count < 0) break;
      outgoing_.erase(0, static_cast<std::size_t>(count));
    }
    const std::uint32_t more = outgoing_.empty() ? 0u : static_cast<std::uint32_t>(EPOLLOUT);
    pool_.loop_.change(descriptor_, EPOLLIN | more, *this);
    if (!outgoing_.empty() || !pieces_.empty()) return true;
    for (const UnderWay &item : under_way_)
      if (pool_.records_[item.record].sent_whole == 0) pool_.records_[item.record].sent_whole = now;
    return true;
  }

  void read_in(Instant now) {
    char bytes[16384];
    const ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) return lose(now, RequestEnd::closed);
    std::string_view rest(bytes, static_cast<std::size_t>(count));
    while (!rest.empty() && descriptor_ >= 0) {
      std::size_t used = 0;
      const Reading reading = reader_->feed(rest, used);
      rest.remove_prefix(used);
      if (reading == Reading::partial) return;
      if (reading != Reading::whole || under_way_.empty()) return lose(now, RequestEnd::closed);
      take_answer(reader_->take(), now);
    }
  }

  void take_answer(const HttpMessage &response, Instant now) {
    const AnswerSeen seen = pool_.wire_.read_answer(response);
    RequestRecord &record = pool_.records_[under_way_.front().record];
    under_way_.pop_front();
    // What came before the request was whole ends it as well.
    if (record.sent_whole == 0) record.sent_whole = now;
    record.end = RequestEnd::answered;
    record.ended = now;
    record.status = seen.status;
    record.is_sealed = seen.is_sealed;
    record.answered_for = seen.answered_for;
    if (seen.retry_after > 0) next_at_ = std::max(next_at_, now + seen.retry_after);
    const bool moves_on = kind_ == ClientKind::probe && sent_on_connection_ >= 3;
    if (!response.keeps_link || moves_on || !pieces_.empty()) lose(now, RequestEnd::closed);
  }

  /// Ends requests whose client leaves or has waited long enough; the connection goes with them.
  void watch_over(Instant now) {
    const UnderWay &first = under_way_.front();
    if (first.leaves_at != 0 && now >= first.leaves_at) return lose(now, RequestEnd::given_up);
    if (pool_.may_judge_ && now >= first.deadline + past_deadline) lose(now, RequestEnd::overdue);
  }

  /// The connection is over; whatever was under way on it ends so.
  void lose(Instant now, RequestEnd end) {
    for (const UnderWay &item : under_way_) {
      RequestRecord &record = pool_.records_[item.record];
      record.end = end;
      record.ended = now;
      // Only the first in line was waited for; the others may not even have been read.
      if (end == RequestEnd::overdue) end = RequestEnd::given_up;
    }
    under_way_.clear();
    pieces_.clear();
    outgoing_.clear();
    disconnect();
    next_at_ = std::max(next_at_, now + reconnect_after);
  }

  void disconnect() {
    if (descriptor_ < 0) return;
    pool_.loop_.remove(descriptor_);
    close(descriptor_);
    descriptor_ = -1;
    is_up_ = false;
  }

  ClientPool &pool_;
  ClientKind kind_;
  std::size_t edge_ = 0, sent_on_connection_ = 0;
  int descriptor_ = -1;
  bool is_up_ = false;
  Instant opened_at_ = 0, next_at_ = 0, piece_at_ = 0;
  SteadyTide clock_;
  std::unique_ptr<HttpReader> reader_;
  std::string outgoing_;
  std::deque<std::string> pieces_;
  std::deque<UnderWay> under_way_;
};

ClientPool::ClientPool(Loop &loop, const Wire &wire, ClientOptions options, std::uint64_t seed,
                       std::vector<RequestRecord> &records)
    : loop_(loop), wire_(wire), options_(std::move(options)), random_(seed), records_(records) {
  static constexpr ClientKind mix[] = {
      ClientKind::kept,        ClientKind::kept,    ClientKind::in_line, ClientKind::kept, ClientKind::kept,
      ClientKind::slow_sender, ClientKind::in_line, ClientKind::leaver,  ClientKind::kept, ClientKind::probe};
  for (std::size_t at = 0; at < options_.clients; ++at)
    clients_.push_back(std::make_shared<Client>(*this, mix[at % std::size(mix)], at % options_.edges.size()));
}

ClientPool::~ClientPool() = default;

Span ClientPool::draw_pause(Instant now) {
  constexpr Span pressed_share = 10;
  const Span pause = random_.span(options_.pause_least, options_.pause_most);
  const bool is_pressing = now % options_.press_each < options_.press_lasts;
  return is_pressing ? pause / pressed_share : pause;
}

void ClientPool::tick(Instant now) {
  may_judge_ = stalls_.may_judge(now);
  for (const auto &client : clients_) client->tick(now);
}

bool ClientPool::is_idle() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto &client) { return client->is_idle(); });
}

} // namespace wharf::soak
