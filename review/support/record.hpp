// What a case sent, what was answered and what ran, with the time of each.

#ifndef TANAGERSPUR_REVIEW_RECORD_HPP
#define TANAGERSPUR_REVIEW_RECORD_HPP

#include "http.hpp"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>

namespace review
{

class record_file
{
public:
    explicit record_file(const std::string& path)
        : m_file(path)
    {
    }
    void write(const std::string& line)
    {
        const std::lock_guard lock{m_mutex};
        const std::chrono::duration<double> since = clock::now() - m_begun;
        m_file << std::fixed << std::setprecision(3) << std::setw(8) << since.count() << " s  "
               << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    clock::time_point m_begun = clock::now();
};

inline bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

// Exit codes of a case.
enum outcome
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2
};

} // namespace review

#endif
