// Line plots as SVG text. Pure.
#ifndef JUJUBE_LOAD_SVG_H_
#define JUJUBE_LOAD_SVG_H_

#include <string>
#include <vector>

namespace jujube::load {

struct PlotPoint {
  double X = 0;
  double Y = 0;
};

struct PlotLine {
  std::string Name;
  std::vector<PlotPoint> Points;
};

// Axes start at 0. A level is drawn dashed over the whole width.
struct PlotLevel {
  std::string Name;
  double Y = 0;
};

struct Plot {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<PlotLine> Lines;
  std::vector<PlotLevel> Levels;
};

// Renders one plot with axes, grid and a legend. Lines of many points are
// thinned to the width in pixels.
std::string renderSvg(const Plot &plot);

} // namespace jujube::load

#endif // JUJUBE_LOAD_SVG_H_
