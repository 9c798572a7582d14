// The entry point that every test binary links.
#define BOOST_TEST_MODULE jujubedyke
#include <boost/test/unit_test.hpp>
