/**
 * Draws the results of a scenario as SVG with vega-lite. The library is loaded
 * only when a plot is requested.
 */
import {writeFileSync} from 'node:fs';
import type {TopLevelSpec} from 'vega-lite';
import type {Plot} from './scenarios/scenario.js';

const WIDTH_PX = 420;
const HEIGHT_PX = 240;

/** Writes a plot to a file as SVG. */
export async function writePlot(file: string, plot: Plot): Promise<void> {
  writeFileSync(file, await renderPlot(plot));
}

/** Renders a plot as SVG text. */
export async function renderPlot(plot: Plot): Promise<string> {
  const [vega, vegaLite] = await Promise.all([
    import('vega'),
    import('vega-lite'),
  ]);
  const {spec} = vegaLite.compile(buildSpec(plot));
  const view = new vega.View(vega.parse(spec), {renderer: 'none'});
  return view.toSVG();
}

function buildSpec(plot: Plot): TopLevelSpec {
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: plot.title,
    width: WIDTH_PX,
    height: HEIGHT_PX,
    background: 'white',
    data: {values: plot.points.map(point => ({...point}))},
    mark: 'bar',
    encoding: {
      x: {field: 'group', type: 'nominal', title: null, sort: null},
      xOffset: {field: 'name', sort: null},
      y: {field: 'value', type: 'quantitative', title: plot.unit},
      color: {field: 'name', type: 'nominal', title: null, sort: null},
    },
  };
}
