// Scripts of random steps for stateful fuzzing of the replicated state.
#ifndef TESTING_STATE_SCRIPT_H_
#define TESTING_STATE_SCRIPT_H_

#include <cstdint>
#include <vector>

#include <rapidcheck.h>

namespace jujube::testing {

// One random step, from which successive choices are drawn.
class Step {
public:
  explicit Step(uint32_t word) : Word(word) {}

  // Draws a choice from 0 to n-1.
  uint32_t take(uint32_t n) {
    const uint32_t choice = Word % n;
    Word /= n;
    return choice;
  }
  bool flip() { return take(2) == 1; }

private:
  uint32_t Word;
};

// Draws a script of up to `max` steps.
inline std::vector<Step> drawScript(int max) {
  const auto words = *rc::gen::resize(
      max, rc::gen::container<std::vector<uint32_t>>(
               rc::gen::inRange<uint32_t>(0, uint32_t{1} << 30)));
  return {words.begin(), words.end()};
}

} // namespace jujube::testing

#endif // TESTING_STATE_SCRIPT_H_
