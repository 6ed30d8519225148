#include "bench/experiment/worth_plot.hpp"

#include <boost/geometry/geometries/linestring.hpp>
#include <boost/geometry/geometries/point_xy.hpp>
#include <boost/geometry/io/svg/svg_mapper.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>

namespace tanagerspur::experiment
{

namespace
{

namespace bg = boost::geometry;
using point = bg::model::d2::point_xy<double>;
using line = bg::model::linestring<point>;

constexpr int row_height = 18;
constexpr int plot_width = 900;
// Units of the horizontal axis for each unit of worth, and the width of the labels.
constexpr double worth_scale = 600;
constexpr double label_width = 260;
constexpr std::array colours{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};

} // namespace

bool write_worth_plot(const std::string& file_name, const std::vector<plotted_worth>& values)
{
    std::ofstream file(file_name);
    std::set<std::string> days;
    std::set<std::string> variants;
    for (const plotted_worth& each : values)
    {
        days.insert(each.day);
        variants.insert(each.variant);
    }
    const auto rows = static_cast<int>(days.size() * (variants.size() + 1) + 1);
    {
        bg::svg_mapper<point> mapper(file, plot_width, rows * row_height);
        mapper.add(point{-label_width, 0});
        mapper.add(point{worth_scale, static_cast<double>(rows * row_height)});
        double y = rows * row_height;
        for (const std::string& day : days)
        {
            y -= row_height;
            mapper.text(point{-label_width, y}, day, "font-size:12px;font-weight:bold");
            for (const plotted_worth& each : values)
            {
                if (each.day != day)
                    continue;
                y -= row_height;
                const auto index = static_cast<std::size_t>(
                    std::distance(variants.begin(), variants.find(each.variant)));
                const std::string colour = colours[index % colours.size()];
                mapper.text(point{-label_width + 20, y}, each.variant, "font-size:11px");
                const line interval{{(each.mean - each.half_interval) * worth_scale, y},
                                    {(each.mean + each.half_interval) * worth_scale, y}};
                std::string interval_style = "stroke-width:3;stroke:";
                interval_style.append(colour);
                std::string point_style = "fill:";
                point_style.append(colour);
                mapper.map(interval, interval_style);
                mapper.map(point{each.mean * worth_scale, y}, point_style, 4);
            }
        }
    }
    return static_cast<bool>(file.flush());
}

} // namespace tanagerspur::experiment
