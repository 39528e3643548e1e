/** Stand-ins of the platform, the model engines, the weight store and plain services, with fault switches. */
package org.gooseberryring.standins;
