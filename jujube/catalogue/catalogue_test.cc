#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

#include "absl/strings/str_cat.h"

#include "jujube/base/digest.h"
#include "jujube/catalogue/catalogue.h"
#include "testing/state_script.h"

namespace jujube::catalogue {
namespace {

using jujube::testing::drawScript;
using jujube::testing::Step;

Team teamOf(const std::string &id, uint32_t share = 1) {
  return {TeamId(id), share, {1000, 1000, 0}};
}

Entry entryOf(const std::string &id, const std::string &owner) {
  Entry entry;
  entry.Id = EntryId(id);
  entry.Owner = TeamId(owner);
  entry.Demand = {100, 100, 0};
  return entry;
}

Key keyOf(const std::string &id, const std::string &team,
          const std::string &secret) {
  return {KeyId(id), TeamId(team), "salt", saltedDigest("salt", secret)};
}

Edit editOf(const std::string &id, uint64_t base, Change what) {
  return {EditId(id), Revision{base}, std::move(what), "operator"};
}

// Precondition: the edit is accepted.
Revision accept(Catalogue &catalogue, const Edit &edit) {
  const Result<Revision> result = catalogue.apply(edit);
  BOOST_REQUIRE(isOk(result));
  return valueOf(result);
}

ErrorKind kindOf(const Result<Revision> &result) {
  BOOST_REQUIRE(!isOk(result));
  BOOST_TEST(!errorOf(result).Remedy.empty());
  return errorOf(result).Kind;
}

// Draws a change from the random script.
Change drawChange(Step &step) {
  const std::string n = absl::StrCat(step.take(2));
  switch (step.take(6)) {
  case 0:
    return PutTeam{teamOf("t" + n, 1 + step.take(3))};
  case 1:
    return DeleteTeam{TeamId("t" + n)};
  case 2:
    return PutEntry{entryOf("e" + n, absl::StrCat("t", step.take(2)))};
  case 3:
    return DeleteEntry{EntryId("e" + n)};
  case 4:
    return IssueKey{keyOf("k" + n, absl::StrCat("t", step.take(2)), "s")};
  default:
    return WithdrawKey{KeyId("k" + n)};
  }
}

// Returns the id of the changed object. Independent of the catalogue's own
// function, since the oracle must not rely on the code under test.
std::string objectOf(const Change &change) {
  return std::visit(
      [](const auto &c) {
        if constexpr (requires { c.Value; })
          return c.Value.Id.str();
        else
          return c.Id.str();
      },
      change);
}

bool isRemoval(const Change &change) {
  return std::holds_alternative<DeleteTeam>(change) ||
         std::holds_alternative<DeleteEntry>(change) ||
         std::holds_alternative<WithdrawKey>(change);
}

// A simple reference model: the revision that last changed each object, and the
// first answer to every edit.
struct Oracle {
  uint64_t Latest = 0;
  std::map<std::string, uint64_t> Changed;
  std::map<std::string, Result<Revision>> Answers;
  std::vector<Edit> Sent;

  uint64_t changedAt(const std::string &object) const {
    const auto it = Changed.find(object);
    return it == Changed.end() ? 0 : it->second;
  }

  void check(const Edit &edit, const Result<Revision> &answer) {
    const auto [it, isNew] = Answers.try_emplace(edit.Id.str(), answer);
    RC_ASSERT(it->second == answer);
    if (!isNew)
      return;
    Sent.push_back(edit);
    const std::string object = objectOf(edit.What);
    if (!isOk(answer)) {
      RC_ASSERT(errorOf(answer).Kind != ErrorKind::RevisionConflict ||
                changedAt(object) != edit.Base.Value ||
                std::holds_alternative<IssueKey>(edit.What));
      return;
    }
    RC_ASSERT(valueOf(answer).Value == ++Latest);
    RC_ASSERT(changedAt(object) == edit.Base.Value);
    if (isRemoval(edit.What))
      Changed.erase(object);
    else
      Changed[object] = Latest;
  }
};

BOOST_AUTO_TEST_SUITE(CatalogueSuite)

RC_BOOST_PROP(OneWinnerPerRevisionAndOneAnswerPerEdit, ()) {
  Oracle oracle;
  Catalogue first;
  Catalogue second;
  std::map<std::string, uint64_t> seen;
  for (Step step : drawScript(200)) {
    const uint32_t kind = step.take(8);
    if (kind == 0) {
      seen = oracle.Changed;
    } else if (kind == 1) {
      const Result<Catalogue> restored = Catalogue::fromState(first.state());
      RC_ASSERT(isOk(restored));
      second = valueOf(restored);
    } else {
      Edit edit =
          editOf(absl::StrCat("id", oracle.Sent.size()), 0, drawChange(step));
      const std::string object = objectOf(edit.What);
      edit.Base = {step.flip() ? seen[object] : oracle.changedAt(object)};
      if (kind == 2 && !oracle.Sent.empty())
        edit =
            oracle.Sent[step.take(static_cast<uint32_t>(oracle.Sent.size()))];
      const Result<Revision> verdict = first.check(edit);
      const Result<Revision> answer = first.apply(edit);
      RC_ASSERT(verdict == answer);
      RC_ASSERT(second.apply(edit) == answer);
      oracle.check(edit, answer);
    }
    RC_ASSERT(first.latest().Value == oracle.Latest);
    RC_ASSERT(first.state() == second.state());
  }
}

BOOST_AUTO_TEST_CASE(ConflictNamesTheWinningRevision) {
  Catalogue catalogue;
  accept(catalogue, editOf("a", 0, PutTeam{teamOf("events")}));
  accept(catalogue, editOf("b", 1, PutTeam{teamOf("events", 2)}));
  const Result<Revision> late =
      catalogue.apply(editOf("c", 1, PutTeam{teamOf("events", 3)}));
  BOOST_REQUIRE(kindOf(late) == ErrorKind::RevisionConflict);
  BOOST_TEST(errorOf(late).Message == "team events was changed by revision 2, "
                                      "and the edit was made against 1");
  accept(catalogue, editOf("d", 2, DeleteTeam{TeamId("events")}));
  const Result<Revision> gone =
      catalogue.apply(editOf("e", 2, PutTeam{teamOf("events", 3)}));
  BOOST_TEST(errorOf(gone).Message == "team events was deleted by revision 3, "
                                      "and the edit was made against 2");
  BOOST_TEST(catalogue.history(1).front().Summary == "delete team events");
}

BOOST_AUTO_TEST_CASE(ReusedEditIdIsRefused) {
  Catalogue catalogue;
  accept(catalogue, editOf("a", 0, PutTeam{teamOf("events")}));
  BOOST_TEST(
      (kindOf(catalogue.apply(editOf("a", 0, PutTeam{teamOf("events", 9)}))) ==
       ErrorKind::DuplicateRequest));
  BOOST_TEST(catalogue.latest().Value == 1U);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIdIsNotIssuedAgain) {
  Catalogue catalogue;
  accept(catalogue, editOf("a", 0, PutTeam{teamOf("events")}));
  accept(catalogue, editOf("b", 0, IssueKey{keyOf("k.1", "events", "s1")}));
  BOOST_TEST(valueOf(catalogue.authenticate("k.1.s1")).str() == "events");
  BOOST_TEST(errorOf(catalogue.authenticate("")).Message ==
             "no key was presented");
  for (const std::string bad : {"k.1.s2", "k.1.", "k", "", ".s1", "k2.s1"})
    BOOST_TEST((errorOf(catalogue.authenticate(bad)).Kind ==
                ErrorKind::Unauthenticated));
  accept(catalogue, editOf("c", 2, WithdrawKey{KeyId("k.1")}));
  BOOST_TEST(!isOk(catalogue.authenticate("k.1.s1")));
  BOOST_TEST((kindOf(catalogue.apply(
                  editOf("d", 0, IssueKey{keyOf("k.1", "events", "s1")}))) ==
              ErrorKind::RevisionConflict));
}

BOOST_AUTO_TEST_CASE(BadEditsAreRefusedWithARemedy) {
  Catalogue catalogue;
  accept(catalogue, editOf("a", 0, PutTeam{teamOf("events")}));
  accept(catalogue, editOf("b", 0, PutEntry{entryOf("desk", "events")}));
  Entry withoutResources = entryOf("x", "events");
  withoutResources.Demand = {};
  Key undigested = keyOf("k", "events", "s");
  undigested.Digest = "the secret itself";
  const std::vector<std::pair<Change, ErrorKind>> cases = {
      {PutTeam{teamOf("x", 0)}, ErrorKind::InvalidArgument},
      {PutTeam{teamOf("a b")}, ErrorKind::InvalidArgument},
      {PutEntry{withoutResources}, ErrorKind::InvalidArgument},
      {PutEntry{entryOf("x", "nobody")}, ErrorKind::NotFound},
      {IssueKey{undigested}, ErrorKind::InvalidArgument},
      {IssueKey{keyOf("k", "nobody", "s")}, ErrorKind::NotFound},
      {WithdrawKey{KeyId("k")}, ErrorKind::NotFound},
      {DeleteEntry{EntryId("x")}, ErrorKind::NotFound}};
  for (const auto &[change, kind] : cases)
    BOOST_TEST((kindOf(catalogue.check(editOf("c", 0, change))) == kind));
  BOOST_TEST(
      (kindOf(catalogue.check(editOf("c", 1, DeleteTeam{TeamId("events")}))) ==
       ErrorKind::InvalidArgument));
  BOOST_TEST(catalogue.latest().Value == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::catalogue
