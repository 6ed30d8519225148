// tanagerspur_soak: runs the forwarding daemon as separate processes under faults drawn from a
// seed, and checks its guarantees from what callers and replicas observe.

#include "soak/soak_world.hpp"

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "number of consecutive seeds to run");
DEFINE_int32(seconds, 16, "length of a run in seconds; the last 8 seconds are without faults");
DEFINE_int32(hosts, 4, "number of hosts");
DEFINE_int32(callers, 12, "number of callers");
DEFINE_int32(port, 24000, "first of the ports that are used; below the system's ephemeral ports");
DEFINE_string(program, "build/tanagerspur_gateway", "path of the daemon");
DEFINE_string(folder, "", "folder for settings and logs; by default a new one under /tmp");

namespace
{

using namespace tanagerspur::soak;

void print(std::uint64_t seed, const soak_report& report)
{
    std::cout << "seed " << seed << ": " << report.requests << " requests, " << report.faults
              << " faults, ";
    for (const auto& [status, count] : report.by_status)
        std::cout << status << ": " << count << ", ";
    for (const auto& [kind, count] : report.explained)
        std::cout << kind << " and explained: " << count << ", ";
    std::cout << "without answer: " << report.without_answer << ", partial: " << report.partial
              << ", violations: " << report.violations.size() << std::endl;
}

bool run(std::uint64_t seed)
{
    const std::string folder =
        (FLAGS_folder.empty() ? "/tmp/tanagerspur_soak-" + std::to_string(getpid())
                              : FLAGS_folder) +
        "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    soak_world world({.seed = seed,
                      .length = std::chrono::seconds{FLAGS_seconds},
                      .hosts = static_cast<std::size_t>(FLAGS_hosts),
                      .callers = static_cast<std::size_t>(FLAGS_callers),
                      .first_port = static_cast<std::uint16_t>(FLAGS_port),
                      .program = FLAGS_program,
                      .folder = folder});
    const soak_report report = world.run();
    print(seed, report);
    // Logs are kept only for a failed run.
    if (report.violations.empty())
        std::filesystem::remove_all(folder);
    return report.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("tanagerspur_soak [--seed=N] [--seeds=N] [--seconds=N]\n"
                            "Exit codes: 0 no guarantee was violated, 1 one was violated.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_level(spdlog::level::off);
    int failed = 0;
    for (int i = 0; i < FLAGS_seeds; ++i)
        failed += run(FLAGS_seed + static_cast<std::uint64_t>(i)) ? 0 : 1;
    std::cout << FLAGS_seeds - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
