// tanagerspur_platform: runs the platform's stand-in as a process, for demos and tests.

#include "stand_ins/platform_stand_in.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:7000", "address:port to listen on");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("tanagerspur_platform --listen=ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen = tanagerspur::parse_endpoint(FLAGS_listen);
    if (!listen)
    {
        std::cerr << "tanagerspur_platform: --listen: expected address:port by IP number\n";
        return 2;
    }
    boost::asio::io_context io;
    tanagerspur::stand_ins::platform_stand_in platform(io, {.listen = *listen});
    const std::string error = platform.start();
    if (!error.empty())
    {
        std::cerr << "tanagerspur_platform: " << error << "\n";
        return 3;
    }
    io.run();
    return 0;
}
