// tanagerspur_targets: runs stand-ins for all targets of a manifest in one process.

#include "stand_ins/target_stand_in.hpp"
#include "tanagerspur/common/ini.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(manifest, "", "path of the manifest whose targets are simulated");
DEFINE_string(control, "127.0.0.1:7001",
              "address:port of the control server for faults and counters");
DEFINE_double(mean_ms, 5, "mean service time in milliseconds");
DEFINE_double(stragglers, 0.01, "share of requests that take ten times as long");
DEFINE_uint64(seed, 1, "seed of the service times");

int main(int argc, char** argv)
{
    using namespace tanagerspur;
    gflags::SetUsageMessage("tanagerspur_targets --manifest=FILE --control=ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto control = parse_endpoint(FLAGS_control);
    auto parsed = capture(
        []() -> result<manifest>
        {
            BOOST_LEAF_AUTO(text, read_text_file(FLAGS_manifest));
            return parse_manifest(FLAGS_manifest, text);
        });
    const auto* error = std::get_if<input_error>(&parsed);
    if (error != nullptr || !control)
    {
        std::cerr << "tanagerspur_targets: "
                  << (error != nullptr ? to_string(*error)
                                       : std::string{"--control: expected address:port"})
                  << "\n";
        return 2;
    }
    boost::asio::io_context io;
    const auto mean_us = static_cast<duration::rep>(FLAGS_mean_ms * 1'000);
    stand_ins::target_fleet fleet(io, std::get<manifest>(parsed), *control,
                                  {.mean_service = duration{mean_us},
                                   .straggler_share = FLAGS_stragglers,
                                   .seed = FLAGS_seed});
    const std::string failure = fleet.start();
    if (!failure.empty())
    {
        std::cerr << "tanagerspur_targets: " << failure << "\n";
        return 3;
    }
    io.run();
    return 0;
}
