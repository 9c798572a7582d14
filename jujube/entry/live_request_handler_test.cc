// Tests the handler of live requests with a fake leader of the home zone, which
// journals in a real FateStateMachine, and with links whose events the test
// posts.
#include "jujube/entry/live_request_handler.h"

#include <algorithm>
#include <iterator>

#include <boost/test/unit_test.hpp>

#include "jujube/base/digest.h"
#include "jujube/fate/fate_state_machine.h"

namespace jujube::entry {
namespace {

using fate::FateState;
using routing::AttemptOutcome;

const ZoneId Zone("kariakoo");
const EntryId LiveEntry("fitting-desk");
const TeamId Team("fitters");
const RequestId Request("kariakoo.refund-7");
const Address Leader{"127.0.0.1", 7001};

class Fixture {
public:
  Fixture()
      : Loop(Time.clock()), Outbox(runtime::makeMailbox<wire::Packet>(1000)),
        Messages(Loop, HostId("entry-1"), {"127.0.0.1", 7002}, Outbox),
        Zones(Loop, Messages, Zone, {Leader}) {
    Time.advance(Duration::seconds(100));
    auto links = valueOf(RunnerLinkPool::create(1));
    Events = links.events();
    LiveRequestHandler::Hooks hooks;
    hooks.HandOver = [this](const api::CallLive &call, const LiveAnswerHook &) {
      StateAtHandOver = stateOf(call.Request);
    };
    Handler = valueOf(LiveRequestHandler::create({HostId("entry-1"), {1}, Zone},
                                                 Loop, Zones, std::move(links),
                                                 Metrics, std::move(hooks)));
  }

  // Grants credits for each of two runners.
  void grant(uint32_t credits) {
    Credits = credits;
    Handler->endTurn();
    answerLeader();
  }

  void serve() {
    catalogue::Entry entry;
    entry.Id = LiveEntry;
    entry.IsIdempotent = false;
    Handler->serve({"", Request, LiveEntry, "refund", Duration::seconds(2)},
                   Team, entry, [this](Result<api::LiveAnswer> answer) {
                     Answers.push_back(std::move(answer));
                   });
  }

  // Answers the messages that were sent to the leader, except for offers if
  // `holdsOffers`.
  void answerLeader(bool holdsOffers = false) {
    auto packets = Outbox->drain();
    std::ranges::move(packets, std::back_inserter(Unanswered));
    for (const wire::Packet &packet : std::exchange(Unanswered, {})) {
      const wire::Envelope request =
          valueOf(wire::decodeEnvelope(packet.Payload));
      const bool isOffer =
          std::holds_alternative<wire::JournalLive>(request.What);
      if (isOffer && holdsOffers) {
        Unanswered.push_back(packet);
        continue;
      }
      wire::Envelope reply{
          HostId("zone-1"), Leader, request.Correlation, true,
          std::visit([this](const auto &what) { return replyTo(what); },
                     request.What)};
      (void)Messages.receive(wire::Delivery{wire::encodeEnvelope(reply)});
    }
  }

  // Finishes the exchange on the only link.
  void finishExchange(uint32_t attempt, AttemptOutcome outcome,
                      const std::string &body) {
    BOOST_REQUIRE(isOk(Events->post(
        {0, RunnerOutcome{Request, RunnerId("r1"), attempt, outcome, body}})));
    BOOST_REQUIRE(isOk(Loop.runOnce()));
  }

  void advance(Duration span) {
    Time.advance(span);
    Handler->endTurn();
  }

  FateState stateOf(const RequestId &id) const {
    const auto view = Book.view(id);
    return view ? view->State : FateState::Accepted;
  }

  ManualClock Time;
  runtime::PollLoop Loop;
  wire::PacketMailbox Outbox;
  wire::Messenger Messages;
  ZoneDirectory Zones;
  metrics::Metrics Metrics;
  runtime::MailboxPtr<LinkEvent> Events;
  std::unique_ptr<LiveRequestHandler> Handler;
  fate::FateStateMachine Book;
  std::vector<wire::Packet> Unanswered;
  std::vector<Result<api::LiveAnswer>> Answers;
  std::optional<FateState> StateAtHandOver;
  uint32_t Credits = 0;
  int Offers = 0;
  int Ends = 0;

private:
  wire::Message replyTo(const wire::JournalLive &live) {
    ++Offers;
    const auto event = Book.offerLive(live.Offer);
    if (!isOk(event))
      return wire::Refusal{errorOf(event), Address{}};
    if (!valueOf(event))
      return wire::FateReply{*Book.view(live.Offer.Request)};
    (void)Book.apply(*valueOf(event));
    return wire::Done{};
  }
  wire::Message replyTo(const wire::JournalLiveEnd &live) {
    ++Ends;
    (void)Book.apply(live.End);
    return wire::Done{};
  }
  wire::Message replyTo(const wire::ReportCredits &report) {
    wire::CreditReply news;
    news.Grant = {
        report.Report.From,  Zone, Term{1}, ++Serial, report.Report.Sequence,
        Duration::seconds(2)};
    for (const char *name : {"r1", "r2"}) {
      routing::RunnerAnnouncement runner;
      runner.Runner = RunnerId(name);
      runner.Start = {1};
      runner.Entry = LiveEntry;
      runner.Zone = Zone;
      news.Runners.push_back({runner, Duration()});
      news.Grant.Credits.push_back({runner.Runner, Credits});
    }
    return news;
  }
  template <typename Other> wire::Message replyTo(const Other &) {
    return wire::Done{};
  }

  uint64_t Serial = 0;
};

Error errorAnswer(const Fixture &fixture, std::size_t i = 0) {
  BOOST_REQUIRE(fixture.Answers.size() > i);
  BOOST_REQUIRE(!isOk(fixture.Answers[i]));
  return errorOf(fixture.Answers[i]);
}

BOOST_AUTO_TEST_SUITE(LiveRequestHandlerSuite)

// A refusal proves that the request did not run, so that even a request that is
// not idempotent is offered again.
BOOST_AUTO_TEST_CASE(RefusedRequestIsOfferedToAnotherRunner) {
  Fixture fixture;
  fixture.grant(2);
  fixture.serve();
  fixture.answerLeader();
  fixture.finishExchange(1, AttemptOutcome::Refused, "");
  fixture.answerLeader();
  fixture.finishExchange(2, AttemptOutcome::Answered, "refunded");
  fixture.answerLeader();
  BOOST_REQUIRE(fixture.Answers.size() == 1U);
  BOOST_REQUIRE(isOk(fixture.Answers[0]));
  BOOST_TEST(valueOf(fixture.Answers[0]).Body == "refunded");
  BOOST_TEST((fixture.stateOf(Request) == FateState::Finished));
  BOOST_TEST(fixture.Offers == 1);
}

BOOST_AUTO_TEST_CASE(ShedRequestIsNotRunForCallerAndJournal) {
  Fixture fixture;
  fixture.grant(0);
  fixture.serve();
  fixture.answerLeader();
  BOOST_TEST((fixture.stateOf(Request) == FateState::Offered));
  fixture.advance(Duration::millis(2000));
  fixture.answerLeader();
  const Error error = errorAnswer(fixture);
  BOOST_TEST((error.Kind == ErrorKind::NotRun));
  BOOST_TEST(error.RetryAfter.millis() > 0);
  BOOST_TEST((fixture.stateOf(Request) == FateState::NotRun));
  BOOST_TEST(
      (fixture.Handler->find(Request, Team)->State == FateState::NotRun));
}

BOOST_AUTO_TEST_CASE(EndDoesNotOvertakeTheOffer) {
  Fixture fixture;
  fixture.grant(0);
  fixture.serve();
  fixture.answerLeader(true);
  fixture.advance(Duration::millis(2000));
  fixture.answerLeader(true);
  BOOST_TEST((errorAnswer(fixture).Kind == ErrorKind::NotRun));
  BOOST_TEST(fixture.Ends == 0);
  // A resend gets the same answer.
  fixture.serve();
  BOOST_TEST((errorAnswer(fixture, 1).Kind == ErrorKind::NotRun));
  fixture.answerLeader();
  fixture.answerLeader();
  BOOST_TEST(fixture.Ends == 1);
  BOOST_TEST((fixture.stateOf(Request) == FateState::NotRun));
}

BOOST_AUTO_TEST_CASE(UnknownOutcomeIsToldAndResolvedLater) {
  Fixture fixture;
  fixture.grant(2);
  fixture.serve();
  fixture.answerLeader();
  fixture.finishExchange(1, AttemptOutcome::Unknown, "");
  fixture.answerLeader();
  const Error error = errorAnswer(fixture);
  BOOST_TEST((error.Kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST(error.Remedy.find(Request.str()) != std::string::npos);
  BOOST_TEST((fixture.stateOf(Request) == FateState::Unresolved));
  fixture.advance(Duration::millis(1));
  fixture.finishExchange(1, AttemptOutcome::Answered, "refunded");
  fixture.answerLeader();
  BOOST_TEST((fixture.stateOf(Request) == FateState::Finished));
  BOOST_TEST(fixture.Handler->find(Request, Team)->Tasks.at(0).Answer ==
             "refunded");
}

BOOST_AUTO_TEST_CASE(HandedOverRequestIsFreeInTheJournalFirst) {
  Fixture fixture;
  fixture.grant(0);
  fixture.serve();
  fixture.answerLeader();
  fixture.Handler->beginDrain();
  BOOST_TEST(!fixture.StateAtHandOver.has_value());
  fixture.answerLeader();
  BOOST_REQUIRE(fixture.StateAtHandOver.has_value());
  BOOST_TEST((*fixture.StateAtHandOver == FateState::Queued));
}

// A request that another entry host offered is not run here, and is not
// reported as NotRun either.
BOOST_AUTO_TEST_CASE(OfferOfAnotherHostIsNotCalledNotRun) {
  Fixture fixture;
  const fate::LiveOffered other{Request,
                                Team,
                                LiveEntry,
                                saltedDigest(LiveEntry.str(), "refund"),
                                HostId("entry-2"),
                                RunnerId(),
                                false,
                                Instant()};
  BOOST_REQUIRE(fixture.Book.apply(other));
  fixture.grant(2);
  fixture.serve();
  fixture.answerLeader();
  BOOST_TEST((errorAnswer(fixture).Kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST(!fixture.Handler->find(Request, Team).has_value());
  BOOST_TEST((fixture.stateOf(Request) == FateState::Offered));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::entry
