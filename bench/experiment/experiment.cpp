// Compares the plays of two or more variants of the code, and accounts for the worth that was lost.
// The plays are files NAME/SITE.DAY.SEED.json of a folder, with the bench's output beside them as
// .log. scripts/experiment plays the days and calls this program.

#include "bench/experiment/loss_account.hpp"
#include "bench/experiment/paired_comparison.hpp"
#include "bench/experiment/worth_plot.hpp"
#include "platform/experiment/bench_report.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

DEFINE_string(plays, "", "Folder of the plays, with one folder for each variant");
DEFINE_string(base, "main", "Variant that the others are compared with");
DEFINE_string(tsv, "", "File for the result of each play, tab-separated");
DEFINE_string(svg, "", "File for a plot of the worth of each day by variant");
DEFINE_bool(account, false, "Print the causes of lost worth by window, from the hosts' logs");
DEFINE_double(worth_limit, 0.97, "Windows with less worth are accounted for");

namespace tanagerspur::experiment
{

namespace
{

namespace fs = std::filesystem;

constexpr int exit_bad_input = 2;
constexpr std::size_t causes_per_window = 8;

using plays_by_key = std::map<play_key, play_result>;
using plays_by_variant = std::map<std::string, plays_by_key>;

[[noreturn]] void exit_with(const std::string& message)
{
    std::cerr << "tanagerspur_experiment: " << message << "\n";
    std::exit(exit_bad_input);
}

// The key from a file name "SITE.DAY.SEED.json".
std::optional<play_key> key_of(const fs::path& file)
{
    std::istringstream name(file.stem().string());
    play_key key;
    if (std::getline(name, key.site, '.') && std::getline(name, key.day, '.') &&
        std::getline(name, key.seed, '.') && !key.seed.empty())
        return key;
    return std::nullopt;
}

plays_by_key read_variant(const fs::path& folder)
{
    plays_by_key plays;
    for (const fs::directory_entry& each : fs::directory_iterator(folder))
    {
        if (each.path().extension() != ".json")
            continue;
        const auto key = key_of(each.path());
        std::ifstream file(each.path());
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        std::string error = key ? "" : "not named SITE.DAY.SEED.json";
        const auto result = key ? parse_bench_report(text, error) : std::nullopt;
        if (result)
            plays[*key] = *result;
        else
            std::cout << "NOT COUNTED: " << each.path().string() << ": " << error << "\n";
    }
    return plays;
}

plays_by_variant read_plays()
{
    if (!fs::is_directory(FLAGS_plays))
        exit_with("--plays=" + FLAGS_plays + " is not a folder");
    plays_by_variant plays;
    for (const fs::directory_entry& each : fs::directory_iterator(FLAGS_plays))
        if (each.is_directory())
            plays[each.path().filename().string()] = read_variant(each.path());
    if (!plays.contains(FLAGS_base))
        exit_with("no plays of the base variant " + FLAGS_base + " in " + FLAGS_plays);
    return plays;
}

// Plays of the base and of a variant with the same key, by "SITE DAY".
using pairs_by_day = std::map<std::string, std::vector<std::pair<play_result, play_result>>>;

pairs_by_day pair_plays(const plays_by_key& base, const plays_by_key& variant)
{
    pairs_by_day pairs;
    for (const auto& [key, result] : variant)
        if (const auto found = base.find(key); found != base.end())
            pairs[key.site + " " + key.day].emplace_back(found->second, result);
    return pairs;
}

template<class Value>
comparison compare_by(const std::vector<std::pair<play_result, play_result>>& pairs, Value value)
{
    std::vector<paired_values> values;
    values.reserve(pairs.size());
    for (const auto& [base, variant] : pairs)
        values.push_back({.base = value(base), .variant = value(variant)});
    return compare(values);
}

void print_row(const std::string& name, const comparison& made,
               direction better_if = direction::higher)
{
    fmt::print("  {:<32} {:>3}  {:>8.3f}  {:>8.3f}  {:+.4f} {}  {}\n", name, made.pairs,
               made.base_mean, made.variant_mean, made.mean_difference,
               made.half_interval ? fmt::format("+- {:.4f}", *made.half_interval)
                                  : std::string{"+- unknown"},
               to_string(made.result(better_if)));
}

void print_details(const std::vector<std::pair<play_result, play_result>>& pairs)
{
    print_row("whole day", compare_by(pairs, [](const auto& each) { return each.whole_day; }));
    print_row("worst windows",
              compare_by(pairs, [](const auto& each) { return each.worst_windows; }));
    print_row("worst kind of request",
              compare_by(pairs, [](const auto& each) { return each.worst_kind; }));
    const auto count =
        [&pairs](const char* name, std::uint64_t request_counts::*field, direction better_if)
    {
        print_row(name,
                  compare_by(pairs, [field](const auto& each)
                             { return static_cast<double>(each.requests.*field); }),
                  better_if);
    };
    count("requests within the objective", &request_counts::within_objective, direction::higher);
    count("requests late", &request_counts::late, direction::lower);
    count("requests refused", &request_counts::refused, direction::lower);
    count("requests failed", &request_counts::failed, direction::lower);
}

void print_comparison(const std::string& name, const plays_by_key& base,
                      const plays_by_key& variant)
{
    const pairs_by_day by_day = pair_plays(base, variant);
    std::vector<std::pair<play_result, play_result>> all;
    fmt::print("{} against {}\n  {:<32} {:>3}  {:>8}  {:>8}  difference (95 %)\n", name, FLAGS_base,
               "mean worth", "n", FLAGS_base.substr(0, 8), name.substr(0, 8));
    for (const auto& [day, pairs] : by_day)
    {
        print_row(day, compare_by(pairs, [](const auto& each) { return each.worth; }));
        all.insert(all.end(), pairs.begin(), pairs.end());
    }
    print_row("all days", compare_by(all, [](const auto& each) { return each.worth; }));
    print_details(all);
    for (const auto& [key, result] : variant)
        if (result.broken_rules > 0)
            fmt::print("  RULES BROKEN: {} on {} {} seed {}\n", result.broken_rules, key.site,
                       key.day, key.seed);
    for (const auto& [key, result] : base)
        if (!variant.contains(key))
            fmt::print("  NOT PLAYED: {} {} seed {}\n", key.site, key.day, key.seed);
}

void write_tsv(const plays_by_variant& plays)
{
    std::ofstream file(FLAGS_tsv);
    file << "variant\tsite\tday\tseed\tworth\twhole_day\tworst_windows\tworst_kind\tlate\t"
            "refused\tfailed\tbroken_rules\n";
    for (const auto& [variant, results] : plays)
        for (const auto& [key, result] : results)
            file << fmt::format("{}\t{}\t{}\t{}\t{:.4f}\t{:.4f}\t{:.4f}\t{:.4f}\t{}\t{}\t{}\t{}\n",
                                variant, key.site, key.day, key.seed, result.worth,
                                result.whole_day, result.worst_windows, result.worst_kind,
                                result.requests.late, result.requests.refused,
                                result.requests.failed, result.broken_rules);
    if (!file.flush())
        exit_with("cannot write " + FLAGS_tsv);
}

void print_account(const std::string& variant, const play_key& key, const play_result& play)
{
    const fs::path log =
        fs::path{FLAGS_plays} / variant / (key.site + "." + key.day + "." + key.seed + ".log");
    std::ifstream file(log);
    const std::vector<host_log_line> lines = read_host_logs(file);
    fmt::print("{} {} {} seed {}: worth {:.3f}, prices {:.3f}{}\n", variant, key.site, key.day,
               key.seed, play.worth, play.prices, lines.empty() ? ", no log lines" : "");
    for (const window_account& each : account_losses(play, lines, FLAGS_worth_limit))
    {
        const request_counts& counts = each.of.requests;
        fmt::print("  from {:>4.0f} s: worth {:.3f}, at most {:.3f}; {} sent, {} late, {} refused, "
                   "{} failed\n",
                   each.of.start_s, counts.worth, 1 - each.lost_without_hosts, counts.sent,
                   counts.late, counts.refused, counts.failed);
        std::vector<std::pair<std::size_t, std::string>> causes;
        for (const auto& [cause, number] : each.causes)
            causes.emplace_back(number, cause);
        std::sort(causes.rbegin(), causes.rend());
        causes.resize(std::min(causes.size(), causes_per_window));
        for (const auto& [number, cause] : causes)
            fmt::print("    {:>5} {}\n", number, cause);
    }
}

std::vector<plotted_worth> worths_to_plot(const plays_by_variant& plays)
{
    std::vector<plotted_worth> plotted;
    for (const auto& [variant, results] : plays)
        for (const auto& [day, pairs] : pair_plays(results, results))
        {
            std::vector<paired_values> values;
            for (const auto& [result, same] : pairs)
                values.push_back({.base = 0, .variant = result.worth});
            const comparison mean = compare(values);
            plotted.push_back({.variant = variant,
                               .day = day,
                               .mean = mean.variant_mean,
                               .half_interval = mean.half_interval.value_or(0)});
        }
    return plotted;
}

void run()
{
    const plays_by_variant plays = read_plays();
    const plays_by_key& base = plays.at(FLAGS_base);
    for (const auto& [variant, results] : plays)
        if (variant != FLAGS_base)
            print_comparison(variant, base, results);
    if (FLAGS_account)
        for (const auto& [variant, results] : plays)
            for (const auto& [key, result] : results)
                print_account(variant, key, result);
    if (!FLAGS_tsv.empty())
        write_tsv(plays);
    if (!FLAGS_svg.empty() && !write_worth_plot(FLAGS_svg, worths_to_plot(plays)))
        exit_with("cannot write " + FLAGS_svg);
}

} // namespace

} // namespace tanagerspur::experiment

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares variants of the code by their plays of days");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    tanagerspur::experiment::run();
}
