// main() of all test programs.

#define BOOST_TEST_MODULE quaytrack
#include <boost/test/unit_test.hpp>
