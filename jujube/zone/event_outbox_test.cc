#include "jujube/zone/event_outbox.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

namespace jujube::zone {
namespace {

fate::Event cancelled(const std::string &id) {
  return fate::RequestCancelled{RequestId(id)};
}

std::string idOf(const fate::Event &event) {
  return std::get<fate::RequestCancelled>(event).Request.str();
}

// An outbox whose proposals wait until the test gives their outcome, or are
// refused at once.
struct OutboxFixture {
  EventOutbox Outbox;
  bool RefusesAtOnce = false;
  std::vector<std::vector<std::string>> Proposed;
  std::vector<replica::ProposalHook> Outcomes;

  void flush() {
    Outbox.flush([this](const std::vector<fate::Event> &events,
                        const replica::ProposalHook &done) {
      std::vector<std::string> ids;
      std::ranges::transform(events, std::back_inserter(ids), idOf);
      Proposed.push_back(std::move(ids));
      if (RefusesAtOnce)
        done(Error{ErrorKind::NotLeader, "", ""});
      else
        Outcomes.push_back(done);
    });
  }
  std::vector<std::string> takeProposed() {
    std::vector<std::string> all;
    for (const auto &part : std::exchange(Proposed, {}))
      all.insert(all.end(), part.begin(), part.end());
    return all;
  }
  void finishAll(const Status &status) {
    for (const auto &done : std::exchange(Outcomes, {}))
      done(status);
  }
};

using Ids = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(EventOutboxTest)

// Guards against an offer, a report or a lost entry host that is dropped
// because the leader's lease had expired when it was proposed.
BOOST_FIXTURE_TEST_CASE(RefusedEventsAreProposedAgainInTheirOrder,
                        OutboxFixture) {
  Outbox.add({cancelled("a"), cancelled("b")});
  RefusesAtOnce = true;
  flush();
  BOOST_TEST((takeProposed() == Ids{"a", "b"}));
  Outbox.add({cancelled("c")});
  RefusesAtOnce = false;
  flush();
  BOOST_TEST((takeProposed() == Ids{"a", "b", "c"}));
  finishAll(Ok{});
  flush();
  BOOST_TEST(takeProposed().empty());
}

BOOST_FIXTURE_TEST_CASE(EventsThatMayBeStoredAreNotProposedAgain,
                        OutboxFixture) {
  Outbox.add({cancelled("a")});
  flush();
  (void)takeProposed();
  finishAll(Error{ErrorKind::Unavailable, "", ""});
  flush();
  BOOST_TEST(takeProposed().empty());
}

BOOST_FIXTURE_TEST_CASE(EventsOfAnEarlierLeadershipAreForgotten,
                        OutboxFixture) {
  Outbox.add({cancelled("a")});
  flush();
  (void)takeProposed();
  Outbox.add({cancelled("b")});
  Outbox.clear();
  finishAll(Error{ErrorKind::NotLeader, "", ""});
  flush();
  BOOST_TEST(takeProposed().empty());
}

// Events behind refused ones wait, since they may follow from them.
BOOST_FIXTURE_TEST_CASE(NothingIsProposedAfterARefusal, OutboxFixture) {
  std::vector<fate::Event> many;
  for (std::size_t i = 0; i <= EventOutbox::MaxEvents; ++i)
    many.push_back(cancelled(std::to_string(i)));
  Outbox.add(many);
  RefusesAtOnce = true;
  flush();
  BOOST_TEST(Proposed.size() == 1U);
  (void)takeProposed();
  RefusesAtOnce = false;
  flush();
  BOOST_TEST(Proposed.size() == 2U);
  BOOST_TEST(takeProposed().size() == many.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::zone
