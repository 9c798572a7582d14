#include "jujube/http/caller.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <deque>
#include <list>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/sockets.h"

namespace jujube::http {
namespace {

namespace beast = boost::beast::http;
using Parser = beast::response_parser<beast::string_body>;

// Largest answer that is read. Source: a worker lists at most 500 ends.
constexpr std::size_t MaxAnswer = std::size_t{4} << 20;
constexpr std::size_t ReadBytes = std::size_t{16} << 10;
// Results that one turn of a CallDesk's loop takes.
constexpr std::size_t MaxResultsPerTurn = 128;

Error notSent(const Address &to) {
  return Error{ErrorKind::Unavailable,
               absl::StrCat("no connection to ", to.str()), "call again later"};
}
Error unknownOutcome(const Address &to) {
  return Error{ErrorKind::OutcomeUnknown,
               absl::StrCat("no answer from ", to.str()),
               "find out what became of the call before it is repeated"};
}

std::string render(const OutboundCall &call) {
  std::string out = absl::StrCat(call.Method, " ", call.Target,
                                 " HTTP/1.1\r\nHost: ", call.To.str(), "\r\n");
  for (const auto &[name, value] : call.Headers)
    absl::StrAppend(&out, name, ": ", value, "\r\n");
  if (!call.Body.empty())
    absl::StrAppend(&out, "Content-Type: application/json\r\n");
  absl::StrAppend(&out, "Content-Length: ", call.Body.size(), "\r\n\r\n",
                  call.Body);
  return out;
}

struct Peer;

// A connection and the call that it carries, if any.
struct Link {
  Peer &To;
  runtime::FileDescriptor Socket;
  bool IsConnected = false;
  // What the loop watches it for.
  short Events = 0;
  std::optional<uint64_t> Carries;
  bool IsLongPoll = false;
  Instant BusySince;
  std::string Output;
  bool HasSent = false;
  std::unique_ptr<Parser> Answer;
  // Received and not parsed yet.
  std::string Input;
  Instant IdleSince;
};
using LinkIt = std::list<Link>::iterator;

// The connections to an address, and the calls that wait for one.
struct Peer {
  Address At;
  std::list<Link> Links;
  std::deque<uint64_t> Queue;
  // A timer will look at the queue again.
  bool HasTimer = false;
};

// The state of the caller's task.
class CallerTask {
public:
  CallerTask(const CallerOptions &options, CallResults results,
             runtime::TaskContext &context)
      : Settings(options), Results(std::move(results)), Loop(context.loop()) {
    Loop.callEvery(Settings.KeepIdle / 2, [this] { closeIdle(); });
  }

  void begin(CallRequest request) {
    const uint64_t id = request.Id;
    Peer &peer = peerAt(request.What.To);
    const Instant due = Loop.now() + request.What.Timeout;
    const runtime::TimerId timer = Loop.callAt(due, [this, id] { expire(id); });
    Calls.emplace(id, Call{std::move(request.What), timer});
    peer.Queue.push_back(id);
    serve(peer);
  }

private:
  struct Call {
    OutboundCall What;
    runtime::TimerId Timeout;
    std::optional<LinkIt> On;
  };

  Peer &peerAt(const Address &at) {
    std::unique_ptr<Peer> &peer = Peers[at];
    if (!peer)
      peer = std::make_unique<Peer>(Peer{at});
    return *peer;
  }

  // Gives waiting calls of the address to free or new connections.
  void serve(Peer &peer) {
    while (!peer.Queue.empty()) {
      const uint64_t id = peer.Queue.front();
      if (!Calls.contains(id)) {
        peer.Queue.pop_front();
        continue;
      }
      const std::optional<LinkIt> link = freeLink(peer);
      if (!link)
        return;
      peer.Queue.pop_front();
      carry(*link, id);
    }
  }

  std::optional<LinkIt> freeLink(Peer &peer) {
    const auto free = std::ranges::find_if(
        peer.Links, [](const Link &link) { return !link.Carries; });
    if (free != peer.Links.end())
      return free;
    if (peer.Links.size() >= Settings.MaxPerAddress || isFreeSoon(peer))
      return std::nullopt;
    Result<runtime::FileDescriptor> fd = runtime::connectTcp(peer.At);
    if (!isOk(fd)) {
      failWaiting(peer);
      return std::nullopt;
    }
    peer.Links.push_back(Link{peer, valueOf(std::move(fd))});
    return std::prev(peer.Links.end());
  }

  // True while a call is under way that should be answered soon; looks again
  // once it was not.
  bool isFreeSoon(Peer &peer) {
    const Instant now = Loop.now();
    Instant last;
    for (const Link &link : peer.Links)
      if (!link.IsLongPoll)
        last = std::max(last, link.BusySince + Settings.OpenDelay);
    if (last <= now)
      return false;
    if (!std::exchange(peer.HasTimer, true))
      Loop.callAt(last, [this, &peer] {
        peer.HasTimer = false;
        serve(peer);
      });
    return true;
  }

  void failWaiting(Peer &peer) {
    for (const uint64_t id : std::exchange(peer.Queue, {}))
      finish(id, notSent(peer.At));
  }

  void carry(LinkIt link, uint64_t id) {
    Call &call = Calls.at(id);
    call.On = link;
    link->Carries = id;
    link->IsLongPoll = call.What.IsLongPoll;
    link->BusySince = Loop.now();
    link->Output = render(call.What);
    link->HasSent = false;
    link->Input.clear();
    link->Answer = std::make_unique<Parser>();
    link->Answer->body_limit(MaxAnswer);
    link->Answer->eager(true);
    // A failure here is found again, and handled, when the loop reports it.
    if (link->IsConnected)
      (void)transmit(*link);
    watch(link, link->Output.empty() ? POLLIN : POLLOUT);
  }

  void watch(LinkIt link, short events) {
    if (std::exchange(link->Events, events) != events)
      Loop.watch(link->Socket.get(), events,
                 [this, link](short ready) { advance(link, ready); });
  }

  void advance(LinkIt link, short ready) {
    if (!link->IsConnected) {
      if (runtime::pendingError(link->Socket.get()) != 0) {
        drop(link);
        return;
      }
      link->IsConnected = true;
    }
    if (!link->Output.empty() && (ready & (POLLOUT | POLLERR | POLLHUP)) != 0)
      write(link);
    else if ((ready & (POLLIN | POLLERR | POLLHUP)) != 0)
      read(link);
  }

  void write(LinkIt link) {
    if (transmit(*link))
      watch(link, link->Output.empty() ? POLLIN : POLLOUT);
    else
      drop(link);
  }

  // Sends what it can; false if the connection is lost.
  static bool transmit(Link &link) {
    const ssize_t n = send(link.Socket.get(), link.Output.data(),
                           link.Output.size(), MSG_NOSIGNAL);
    if (n < 0)
      return errno == EAGAIN || errno == EINTR;
    link.HasSent = link.HasSent || n > 0;
    link.Output.erase(0, static_cast<std::size_t>(n));
    return true;
  }

  void read(LinkIt link) {
    std::array<char, ReadBytes> buf;
    const ssize_t n = recv(link->Socket.get(), buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    // An idle connection that becomes readable was closed by the peer.
    if (n <= 0 || !link->Carries) {
      drop(link);
      return;
    }
    link->Input.append(buf.data(), static_cast<std::size_t>(n));
    boost::beast::error_code ec;
    parse(*link, ec);
    if (ec)
      drop(link);
    else if (link->Answer->is_done())
      complete(link);
  }

  // The parser leaves the bytes of an unfinished header unread.
  static void parse(Link &link, boost::beast::error_code &ec) {
    std::size_t used = 0;
    std::size_t step = 0;
    do {
      step = link.Answer->put(boost::asio::buffer(link.Input.data() + used,
                                                  link.Input.size() - used),
                              ec);
      used += step;
    } while (!ec && step > 0 && used < link.Input.size() &&
             !link.Answer->is_done());
    link.Input.erase(0, used);
    if (ec == beast::error::need_more)
      ec = {};
  }

  void complete(LinkIt link) {
    const uint64_t id = *link->Carries;
    beast::response<beast::string_body> answer = link->Answer->release();
    link->Carries.reset();
    link->Answer.reset();
    link->IdleSince = Loop.now();
    Peer &peer = link->To;
    if (!answer.keep_alive())
      close(link);
    finish(id, OutboundAnswer{static_cast<int>(answer.result_int()),
                              std::move(answer.body())});
    serve(peer);
  }

  // The connection is lost, and with it the answer to its call.
  void drop(LinkIt link) {
    const std::optional<uint64_t> id = link->Carries;
    const bool hasSent = link->HasSent;
    Peer &peer = link->To;
    close(link);
    if (id)
      finish(*id, hasSent ? unknownOutcome(peer.At) : notSent(peer.At));
    serve(peer);
  }

  void close(LinkIt link) {
    Loop.unwatch(link->Socket.get());
    link->To.Links.erase(link);
  }

  void expire(uint64_t id) {
    const auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    const Address to = it->second.What.To;
    if (it->second.On) {
      drop(*it->second.On);
      return;
    }
    finish(id, notSent(to));
  }

  void finish(uint64_t id, OutboundResult outcome) {
    const auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    Loop.cancel(it->second.Timeout);
    Calls.erase(it);
    (void)Results->post(CallResult{id, std::move(outcome)});
  }

  void closeIdle() {
    const Instant now = Loop.now();
    for (auto &[at, peer] : Peers)
      for (auto it = peer->Links.begin(); it != peer->Links.end();) {
        const auto link = it++;
        if (!link->Carries && now - link->IdleSince > Settings.KeepIdle)
          close(link);
      }
    std::erase_if(Peers, [](const auto &it) {
      const Peer &peer = *it.second;
      return peer.Links.empty() && peer.Queue.empty() && !peer.HasTimer;
    });
  }

  const CallerOptions &Settings;
  CallResults Results;
  runtime::PollLoop &Loop;
  std::map<Address, std::unique_ptr<Peer>> Peers;
  absl::flat_hash_map<uint64_t, Call> Calls;
};

} // namespace

runtime::ChildSpec callerTask(CallerOptions options, CallMailbox calls,
                              CallResults results) {
  return {"caller",
          [options, calls = std::move(calls),
           results = std::move(results)](runtime::TaskContext &context) {
            CallerTask task(options, results, context);
            context.loop().watchMailbox<CallRequest>(
                calls,
                [&](CallRequest request) { task.begin(std::move(request)); });
            return context.loop().run();
          }};
}

CallDesk::CallDesk(runtime::PollLoop &loop, CallMailbox calls,
                   CallResults results)
    : Loop(loop), Calls(std::move(calls)) {
  Loop.watchMailbox<CallResult>(
      std::move(results),
      [this](CallResult result) {
        const auto it = Waiting.find(result.Id);
        if (it == Waiting.end())
          return;
        const Done done = std::move(it->second);
        Waiting.erase(it);
        done(std::move(result.Outcome));
      },
      MaxResultsPerTurn);
}

void CallDesk::call(OutboundCall what, Done done) {
  const uint64_t id = ++LastId;
  const Address to = what.To;
  Waiting.emplace(id, std::move(done));
  if (isOk(Calls->post(CallRequest{id, std::move(what)})))
    return;
  Loop.callAt(Loop.now(), [this, id, to] {
    const auto it = Waiting.find(id);
    if (it == Waiting.end())
      return;
    const Done done = std::move(it->second);
    Waiting.erase(it);
    done(notSent(to));
  });
}

} // namespace jujube::http
