// Package jobs plays the path of jobs: it runs entries and sidecars as processes against
// stand-ins of the platform, sends them jobs while troubles that a seed draws come side by
// side, and judges what callers and workers saw.
package jobs
