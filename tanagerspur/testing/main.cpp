// Runs all CppUnit tests, or those whose names contain the argument; --list prints the names.
//
// The seed of property tests is fixed; with TANAGERSPUR_FRESH_SEEDS=1 each run uses a new one.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

// Adds the tests whose name contains the pattern.
void add_matching(CppUnit::TestRunner& runner, CppUnit::Test* test, const std::string& pattern)
{
    if (test->getChildTestCount() == 0)
    {
        if (test->getName().find(pattern) != std::string::npos)
            runner.addTest(test);
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i)
        add_matching(runner, test->getChildTestAt(i), pattern);
}

void list(CppUnit::Test* test)
{
    if (test->getChildTestCount() == 0)
        std::cout << test->getName() << "\n";
    for (int i = 0; i < test->getChildTestCount(); ++i)
        list(test->getChildTestAt(i));
}

} // namespace

int main(int argc, char** argv)
{
    if (std::getenv("TANAGERSPUR_FRESH_SEEDS") == nullptr)
        setenv("RC_PARAMS", "seed=20261204", 0);
    // Most tests cause log lines on purpose, for example about lost hosts and refused manifests.
    spdlog::set_level(spdlog::level::off);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    // The registry's suite owns the tests; it must live as long as they run.
    CppUnit::Test* suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    if (argc > 1 && std::string{argv[1]} == "--list")
    {
        list(suite);
        return 0;
    }
    // The runner owns its tests as well, so it is not destroyed.
    auto* runner = new CppUnit::TestRunner;
    add_matching(*runner, suite, argc > 1 ? argv[1] : "");
    runner->run(controller);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    std::cout.flush();
    std::_Exit(failed == 0 && collector.runTests() > 0 ? 0 : 1);
}
